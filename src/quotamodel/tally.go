package quotamodel

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/tenants"
)

// Tally is what the model counted of one tenant.
type Tally struct {
	Asked, Refused int
	Ran            []time.Time // when requests that ran were admitted
	RefusedAt      []time.Time
}

// Bound returns the most requests of a tenant that may run within a window.
func Bound(q tenants.Quota, l tenants.Limit) float64 {
	return (l.RatePerSecond*q.Window.Seconds()+l.Burst)*(1+q.Over) + q.Slack
}

// Most returns the largest number of requests that ran within one window that begins at from or later.
func (t *Tally) Most(window time.Duration, from time.Time) int {
	ran := slices.Clone(t.Ran)
	slices.SortFunc(ran, time.Time.Compare)
	most, first := 0, 0
	for i, at := range ran {
		if at.Before(from) {
			first = i + 1
			continue
		}
		for at.Sub(ran[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
