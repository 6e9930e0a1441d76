package dispatch

// budget bounds the retries and hedges towards one service.
type budget struct {
	tokens, reserve, share float64
}

func newBudget(s Settings) *budget {
	return &budget{tokens: s.RetryReserve / 2, reserve: s.RetryReserve, share: s.RetryShare}
}

// earn adds what one call brings.
func (b *budget) earn() { b.tokens = min(b.reserve, b.tokens+b.share) }

// take uses up one retry, if there is one.
func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
