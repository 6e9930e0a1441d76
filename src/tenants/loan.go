package tenants

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// demandTime is the time over which an agent's demand is averaged.
const demandTime = 2 * time.Second

// loan is the credit that a granter has issued to one agent of one tenant in a session.
type loan struct {
	issued, spent, returned, asked int64
	rate                           float64 // requests per second that arrive at the agent
	at                             time.Time
}

// outstanding returns the credit that the agent may still use.
func (l *loan) outstanding() int64 { return l.issued - l.spent - l.returned }

// update takes over the counts of a report.
func (l *loan) update(now time.Time, c wire.TenantCredit) {
	l.decay(now)
	l.rate += float64(max(0, c.Refused+c.Spent-l.asked)) / demandTime.Seconds()
	l.asked, l.spent, l.returned = c.Refused+c.Spent, c.Spent, c.Returned
}

// decay lowers the average for the time since it was last updated.
func (l *loan) decay(now time.Time) {
	if d := now.Sub(l.at); d > 0 {
		x := d.Seconds() / demandTime.Seconds()
		l.rate /= 1 + x*(1+x*(0.5+x/6)) // nearly exp(x), in a fifth of its time: this runs for each tenant of each report
		l.at = now
	}
}
