package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	minSamples     = 10  // answers before a server can be an outlier
	fewSamples     = 3   // answers before its latency counts in a choice
	latencyWeight  = 0.1 // of a new answer in the mean
	riseWeight     = 0.7 // of a new answer in the recent latency when it took longer
	fallWeight     = 0.2 // when it did not
	errorWeight    = 0.15
	minShare       = 0.1 // of its full share that a cold or returned server takes
	latencyFloor   = 10 * time.Millisecond
	latencySlack   = 2 * time.Millisecond
	errorCost      = 4.0
	maxWaitingCost = 4.0
	usableCapacity = 0.9             // of the slots; beyond it other failure domains are used
	maxRoutes      = 256             // whose service times are kept for a server
	memoryHalfLife = 3 * time.Second // of what answers have shown, while no further ones come
)

// server is what the core knows of one backend server.
type server struct {
	Member
	started  time.Time
	gone     bool            // it refused because it is leaving or replaced, and the table does not show it yet
	inFlight int             // our own attempts
	waiting  []*attemptState // those without an answer yet, the oldest first

	services  map[string]time.Duration // service time that it has told, by route
	load      Load
	loadAt    time.Time
	ownAtLoad int // our own attempts when load was told

	observedAt  time.Time // of the last answer or failure
	samples     int
	logLatency  float64 // mean of the logarithm of nanoseconds
	logRecent   float64 // the same, quick to rise
	errorRate   float64
	consecutive int // failures without an answer between

	silentUntil time.Time // no connection is expected to succeed before
	silentCount int

	asideUntil time.Time
	asideCount int
	asideWhy   string
	returned   time.Time // last return from being set aside
}

// choosable tells whether calls may be sent to the server at all.
func (s *server) choosable() bool {
	return !s.gone && s.State != wire.StateLeaving && s.State != wire.StateDead
}

func (s *server) alive() bool { return s.State == wire.StateAlive && s.Ready }

func (s *server) usable() bool { return s.choosable() && s.alive() }

func (s *server) isAside(now time.Time) bool { return now.Before(s.asideUntil) }

// isUnreachable tells whether a connection has just failed.
func (s *server) isUnreachable(now time.Time) bool { return now.Before(s.silentUntil) }

// unreachable takes in a failed connection.
func (s *server) unreachable(now time.Time) {
	if s.isUnreachable(now) {
		return
	}
	s.silentUntil = now.Add(min(unreachableMin<<min(s.silentCount, 10), unreachableMax))
	s.silentCount++
}

func (s *server) latency() time.Duration { return time.Duration(math.Exp(s.logLatency)) }

// recent returns a latency that rises with a single slow answer.
func (s *server) recent() time.Duration { return time.Duration(math.Exp(s.logRecent)) }

// busy returns the estimated number of slots in use: our own calls and, fading with age, those of other daemons.
func (s *server) busy(now time.Time, halfLife time.Duration) float64 {
	others := 0.0
	if s.load.Slots > 0 {
		age := now.Sub(s.loadAt).Seconds() / halfLife.Seconds()
		others = max(0, float64(s.load.Slots-s.load.Free-s.ownAtLoad)) * math.Exp2(-age)
	}
	return others + float64(s.inFlight)
}

func (s *server) slots() float64 { return float64(max(1, s.Slots)) }

// backlog returns how long a call would wait, as far as that is known; a told backlog runs off with time.
func (s *server) backlog(now time.Time) time.Duration {
	return max(0, s.load.Backlog-now.Sub(s.loadAt))
}

// saturated tells whether the server is expected to have no free slot.
func (s *server) saturated(now time.Time, halfLife time.Duration) bool {
	return s.busy(now, halfLife)+1 > math.Ceil(usableCapacity*s.slots())
}

// cost orders servers: the lower the better.
func (s *server) cost(now time.Time, halfLife time.Duration, median time.Duration) float64 {
	cost := (s.busy(now, halfLife) + 1) / s.slots()
	return cost * (1 + s.memory(now, median) + s.lateness(now, median))
}

// memory returns the cost of earlier errors and slow answers, which fades while no further ones come.
func (s *server) memory(now time.Time, median time.Duration) float64 {
	penalty := s.errorPenalty()
	if s.samples >= fewSamples {
		penalty += max(0, float64(s.recent())/float64(median+latencySlack)-1)
	}
	fade := math.Exp2(-now.Sub(s.observedAt).Seconds() / memoryHalfLife.Seconds())
	return penalty * fade
}

func (s *server) errorPenalty() float64 { return errorCost * s.errorRate }

// errors returns the cost of earlier errors alone, which fades while no further ones come.
func (s *server) errors(now time.Time) float64 {
	return s.errorPenalty() * math.Exp2(-now.Sub(s.observedAt).Seconds()/memoryHalfLife.Seconds())
}

// lateness returns the cost of an attempt that has waited for longer than usual.
func (s *server) lateness(now time.Time, median time.Duration) float64 {
	if len(s.waiting) == 0 || median == 0 {
		return 0
	}
	waited := now.Sub(s.waiting[0].sent)
	return min(maxWaitingCost, max(0, float64(waited)/float64(lateFactor*median+latencySlack)-1))
}

// share returns which part of its full share of calls the server takes, after a start or a return.
func (s *server) share(now time.Time, cold time.Duration) float64 {
	return min(ramp(now.Sub(s.started), cold), ramp(now.Sub(s.returned), cold/2))
}

func ramp(age, full time.Duration) float64 {
	if age >= full {
		return 1
	}
	return minShare + (1-minShare)*max(0, age.Seconds())/full.Seconds()
}

// began takes in an attempt that has been sent.
func (s *server) began(a *attemptState) {
	s.inFlight++
	s.waiting = append(s.waiting, a)
}

// settled takes in that an attempt no longer waits for an answer.
func (s *server) settled(a *attemptState) {
	if i := slices.Index(s.waiting, a); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

// told takes over the load that came with an answer.
func (s *server) told(now time.Time, route string, l Load) {
	if l.Slots <= 0 {
		return
	}
	if l.ServiceTime > 0 {
		if s.services == nil || len(s.services) >= maxRoutes {
			s.services = map[string]time.Duration{}
		}
		s.services[route] = l.ServiceTime
	}
	s.load, s.loadAt, s.ownAtLoad = l, now, s.inFlight
}

// succeeded takes in an answer.
func (s *server) succeeded(now time.Time, took time.Duration) {
	s.observedAt = now
	s.consecutive, s.silentCount = 0, 0
	s.samples++
	s.errorRate -= errorWeight * s.errorRate
	l := math.Log(float64(max(took, time.Microsecond)))
	if s.samples == 1 {
		s.logLatency, s.logRecent = l, l
		return
	}
	if l > s.logRecent {
		s.logRecent += riseWeight * (l - s.logRecent)
	} else {
		s.logRecent += fallWeight * (l - s.logRecent)
	}
	w := max(latencyWeight, 1/float64(s.samples))
	s.logLatency += w * (l - s.logLatency)
}

// failed takes in an attempt that brought no good answer.
func (s *server) failed(now time.Time) {
	s.observedAt = now
	s.consecutive++
	s.samples++
	s.errorRate += errorWeight * (1 - s.errorRate)
}
