package tenants

import (
	"math"
	"time"
)

const (
	reserveShare = 0.1 // of the depth, kept for agents that have no credit
	minReserve   = 8   // credits, but not over half of the depth: a small tenant's requests come at random
)

// pool is the credit of one tenant at a granter. Level and outstanding together are not raised
// above the depth of the limit times the share of the members that delegate to the granter.
type pool struct {
	limit       Limit
	depth       float64
	level       float64 // not issued
	outstanding int64   // issued and not known to be spent or returned
	updatedAt   time.Time
}

// refill adds the credit created since the last update, up to the depth times the share of the
// members that delegate.
func (p *pool) refill(now time.Time, share, joined float64) {
	if d := now.Sub(p.updatedAt); d > 0 {
		if !p.updatedAt.IsZero() {
			room := p.depth*share - float64(p.outstanding) - p.level
			p.level += max(0, min(room, d.Seconds()*p.limit.RatePerSecond*share))
		}
		p.updatedAt = now
	}
	p.trim(joined)
}

// trim removes credit beyond the depth times the share of the members that follow: what agents bring
// with them is kept before they delegate.
func (p *pool) trim(joined float64) {
	p.level = max(0, min(p.level, p.depth*joined-float64(p.outstanding)))
}

// reserve returns the level that is kept for agents that have no credit.
func (p *pool) reserve(share float64) float64 {
	depth := p.depth * share
	return max(reserveShare*depth, min(minReserve, depth/2))
}

// take returns up to n whole credits from the level.
func (p *pool) take(n int64) int64 {
	n = max(0, min(n, int64(math.Floor(p.level))))
	p.level -= float64(n)
	return n
}

// excess returns how much of one agent's credit exceeds its part of what may exist.
func (p *pool) excess(held int64, share float64) int64 {
	allowed := p.depth * share
	if held <= 0 || float64(p.outstanding) <= allowed {
		return 0
	}
	return int64(math.Ceil(float64(held) * (1 - allowed/float64(p.outstanding))))
}
