package tenants

import "time"

// The tolerance of a Quota is divided between credit that may exist at once, which keeps requests
// below the limit from being refused, and a reserve for what the sum cannot count: members that do
// not know of each other, the fixed part of agents that reach no granter, and requests that arrive
// at a server later than they were admitted.
const (
	overDepthShare  = 0.6
	slackDepthShare = 0.75
	isolatedShare   = 0.04 // of the limits, for all agents together that have followed a minority for long
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
	return max(1, l.Burst*(1+q.Over)+overDepthShare*q.Over*l.RatePerSecond*q.Window.Seconds()+slackDepthShare*q.Slack)
}
