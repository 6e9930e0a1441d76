package dispatch

// budget bounds the retries and hedges towards one service.
type budget struct {
	tokens, reserve, share float64
	kept                   float64 // tokens that are left to calls that may run only once
}

func newBudget(s Settings) *budget {
	return &budget{tokens: s.RetryReserve / 2, reserve: s.RetryReserve, share: s.RetryShare}
}

// earn adds what one call brings.
func (b *budget) earn() { b.tokens = min(b.reserve, b.tokens+b.share) }

// take uses up one retry, if there is one.
func (b *budget) take(once bool) bool {
	least := 1.0
	if !once {
		least += b.kept
	}
	if b.tokens < least {
		return false
	}
	b.tokens--
	return true
}
