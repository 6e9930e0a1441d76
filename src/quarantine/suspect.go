package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// suspect holds the crashes under one request.
type suspect struct {
	crashes      []Crash // by time, at most maxCrashes
	quarantined  bool    // Quarantined has been returned, and not Cleared since
	probes       int     // number of probes known to have been claimed
	probeRetryAt time.Time
}

// uncleared returns the crashes of which the request may be the cause.
func (s *suspect) uncleared() []Crash {
	return slices.DeleteFunc(slices.Clone(s.crashes), func(c Crash) bool { return c.Cleared })
}

// crashCount returns the number of crashes of which the request may be the cause.
func (s *suspect) crashCount() int {
	n := 0
	for _, c := range s.crashes {
		if !c.Cleared {
			n++
		}
	}
	return n
}

// hasCrashedOften reports whether the request is quarantined unless it is answered soon.
func (s *suspect) hasCrashedOften() bool { return s.crashCount() >= quarantineThreshold }

// isQuarantined reports whether the request has crashed often and has not been answered within its
// usual time after the first of the crashes. Before that, the lack of an answer says nothing.
func (s *suspect) isQuarantined(now time.Time) bool {
	if !s.hasCrashedOften() {
		return false
	}
	uncleared, usual := s.uncleared(), time.Duration(0)
	for _, c := range uncleared {
		usual = max(usual, c.Usual)
	}
	return now.Sub(uncleared[0].Time) >= min(usual, maxAnswerWait)
}

// isBurst reports whether all crashes fell within burstWindow.
func (s *suspect) isBurst() bool {
	uncleared := s.uncleared()
	return uncleared[len(uncleared)-1].Time.Sub(uncleared[0].Time) <= burstWindow
}

// mayExplain reports whether each crash under other that is not cleared is one under s as well.
func (s *suspect) mayExplain(other *suspect) bool {
	if s.crashCount() < other.crashCount() {
		return false
	}
	return !slices.ContainsFunc(other.crashes, func(c Crash) bool {
		return !c.Cleared && !slices.ContainsFunc(s.crashes, func(own Crash) bool { return own.ID == c.ID && !own.Cleared })
	})
}

// digest returns a hash of the crashes that does not depend on their order.
func (s *suspect) digest() uint64 {
	sum := uint64(0)
	var b [17]byte
	for _, c := range s.crashes {
		binary.LittleEndian.PutUint64(b[:], c.ID)
		binary.LittleEndian.PutUint64(b[8:], c.Content)
		b[16] = 0
		if c.Cleared {
			b[16] = 1
		}
		sum ^= xxh3.Hash(b[:])
	}
	return sum
}

// lastCrash returns the time of the last crash.
func (s *suspect) lastCrash() time.Time { return s.crashes[len(s.crashes)-1].Time }

// expiry returns the time at which the crashes are forgotten.
func (s *suspect) expiry() time.Time {
	if len(s.crashes) >= quarantineThreshold {
		return s.lastCrash().Add(quarantineTime)
	}
	return s.lastCrash().Add(suspectTime)
}

// add adds a crash or the news that it is cleared.
func (s *suspect) add(c Crash) {
	if i := slices.IndexFunc(s.crashes, func(known Crash) bool { return known.ID == c.ID }); i >= 0 {
		s.crashes[i].Cleared = s.crashes[i].Cleared || c.Cleared
		return
	}
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(a, b Crash) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.ID, b.ID)) })
	if len(s.crashes) > maxCrashes {
		drop := max(0, slices.IndexFunc(s.crashes, func(known Crash) bool { return known.Cleared })) // the first cleared one, else the first
		s.crashes = slices.Delete(s.crashes, drop, drop+1)
	}
}

// isForgottenBefore reports whether s is forgotten before other when there are too many: requests
// that are not quarantined first, then by the last crash.
func (s *suspect) isForgottenBefore(other *suspect) bool {
	if s.hasCrashedOften() != other.hasCrashedOften() {
		return other.hasCrashedOften()
	}
	return s.lastCrash().Before(other.lastCrash())
}
