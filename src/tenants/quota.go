package tenants

import "time"

// The tolerance of a Quota is divided between credit that may exist at once, which keeps requests
// below the limit from being refused, and a reserve for what the sum cannot count: members that do
// not know of each other, the fixed part of agents that do not delegate, and requests that arrive
// at a server later than they were admitted.
const (
	reserveOverShare = 0.5 // of Over, not used for credit
	slackDepthShare  = 0.85
	fixedShare       = 0.1 // of Over: the part of the limits that all agents that do not delegate may use together
)

// Quota states how a tenant's limit binds: in any Window, a tenant's requests must not exceed
// (rate x Window + burst) x (1 + Over) + Slack.
type Quota struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// depth returns the credit that may exist at once, at all agents and granters together.
func (q Quota) depth(l Limit) float64 {
	reserve := reserveOverShare * q.Over
	return max(1, l.Burst*(1+q.Over)/(1+reserve)+(q.Over-reserve)*l.RatePerSecond*q.Window.Seconds()+slackDepthShare*q.Slack)
}

// fixedPart returns the part of the limits that an agent may use without delegating, as a share of
// one member's part.
func (q Quota) fixedPart() float64 { return fixedShare * q.Over }
