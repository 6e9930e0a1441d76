package deposit

import (
	"time"

	"github.com/yuccaport/yuccaport/src/kv"
)

// eraCheckFraction is the part of Timeout between two checks of the store's era.
//
// After the store came back from an older copy, its holders have Core.Timeout to write their claims
// again: up to a
// sixth of it until they notice, one failed store call of kv.DefaultTimeout, and the rest to write.
const eraCheckFraction = 6

// settling tells whether the store's era is settled: whether all holders have had the time to write
// their claims again.
type settling struct {
	era       uint64 // highest that an answer of the store has shown
	unsettled bool
	until     time.Time // end of the time for the holders, if unsettled
}

// observe takes in the era of an answer. Era 0 is settled: in it, no claim has been lost.
func (s *settling) observe(now time.Time, era uint64, timeout time.Duration) {
	if era <= s.era {
		return
	}
	*s = settling{era: era, unsettled: true, until: now.Add(timeout)}
}

// remaining returns how long new claims are refused, 0 if the era is settled.
func (s *settling) remaining(now time.Time) time.Duration {
	if s.unsettled && !now.Before(s.until) {
		s.unsettled = false
	}
	if !s.unsettled {
		return 0
	}
	return s.until.Sub(now)
}

// onEraRead takes in the answer to a check of the era.
func (c *Core) onEraRead(now time.Time, e EraRead) {
	c.settling.observe(now, e.Era, c.Timeout)
	if e.Settled && e.Era == c.settling.era {
		c.settling.unsettled = false
	}
}

// observeRevision takes in the era of a revision.
func (c *Core) observeRevision(now time.Time, revision uint64) {
	c.settling.observe(now, eraOf(revision), c.Timeout)
}

func eraOf(revision uint64) uint64 {
	era, _ := kv.SplitRevision(revision)
	return era
}
