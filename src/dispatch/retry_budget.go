package dispatch

// retryBudget is a token bucket that limits the retries and hedged requests to one service; see Settings.RetryShare for those that it does not limit.
type retryBudget struct {
	tokens, capacity, tokensPerCall float64
	nonIdempotentReserve            float64 // tokens reserved for calls that may run only once, 0 unless Settings.SharedRetryBurst is set
}

func newRetryBudget(s Settings) *retryBudget {
	return &retryBudget{tokens: s.RetryBurst / 2, capacity: s.RetryBurst, tokensPerCall: s.RetryShare}
}

// refill adds the tokens for one call.
func (b *retryBudget) refill() { b.tokens = min(b.capacity, b.tokens+b.tokensPerCall) }

// take takes a token for one retry; it reports whether there was one.
func (b *retryBudget) take(nonIdempotent bool) bool {
	required := 1.0
	if !nonIdempotent {
		required += b.nonIdempotentReserve
	}
	if b.tokens < required {
		return false
	}
	b.tokens--
	return true
}
