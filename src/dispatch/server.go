package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/speed"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	minOutlierSamples = 10                    // answers and failures before a server can be an outlier by latency or error rate
	minLatencySamples = 3                     // answers and failures before its latency counts in choices and medians
	latencyWeight     = 0.1                   // weight of a new answer in the moving average of the latency
	recentRiseWeight  = 0.7                   // weight of a new answer in the recent latency, if it took longer
	recentFallWeight  = 0.2                   // weight of a new answer in the recent latency, if it did not
	errorWeight       = 0.15                  // weight of a new answer or failure in the error rate
	minSlowStartShare = 0.1                   // of its full share of calls that a server takes at the beginning of slow start
	minLatencyExcess  = 10 * time.Millisecond // an outlier's mean latency exceeds the median by at least this
	latencySlack      = 2 * time.Millisecond  // added to medians, so that small differences between short latencies do not count
	errorCost         = 4.0                   // penalty at an error rate of 1, as a multiple of the cost without penalties
	maxLatePenalty    = 4.0                   // as a multiple of the cost without penalties
	saturationShare   = 0.9                   // share of the slots in use beyond which a server counts as saturated and other failure domains are used
	maxRoutes         = 256                   // routes whose service times are kept for a server; beyond it all are discarded
	historyHalfLife   = 3 * time.Second       // of penalties for earlier answers and failures, while there are no new ones
)

// server is the core's state of one backend server.
type server struct {
	Member
	startedAt  time.Time
	isNew      bool // it has the version to which an order moves the calls of its service
	departure  departure
	leaving    bool            // it has said in an answer that it is leaving, which is final for this start of it
	inFlight   int             // attempts of this daemon
	unanswered []*attemptState // attempts without an answer yet, oldest first

	serviceTimes   map[string]time.Duration // at usual speed, as last reported, by route
	waits          map[string]reportedWait  // by route
	load           Load
	loadAt         time.Time
	inFlightAtLoad int // inFlight when the load was reported
	speed          speed.Tracker
	speedMemory    *speed.Memory // of the service
	serviceWaits   *meanWaits    // of the service

	observedAt          time.Time // of the last answer or failure
	samples             int       // answers and failures recorded
	logLatency          float64   // moving average of the natural logarithm of the latency in nanoseconds
	logRecentLatency    float64   // the same, rising faster than falling
	errorRate           float64
	consecutiveFailures int // since the last success

	unreachableUntil time.Time // no connection is expected to succeed earlier
	unreachableCount int       // failed connections since the last success; those while the server counts as unreachable are not counted

	ejectedUntil   time.Time
	ejectionCount  int // ejections in close succession
	ejectionReason string
	returnedAt     time.Time // end of the last ejection
}

// isEligible reports whether calls may be sent to the server at all: it is neither leaving, by the
// table or by its answers, nor dead nor marked as departed.
func (s *server) isEligible() bool {
	return s.departure.until.IsZero() && !s.leaving && s.State != wire.StateLeaving && s.State != wire.StateDead
}

// isHealthy reports whether the roster shows the server as alive and ready.
func (s *server) isHealthy() bool { return s.State == wire.StateAlive && s.Ready }

// isUsable reports whether the server is eligible and healthy; it may still be ejected, unreachable or saturated.
func (s *server) isUsable() bool { return s.isEligible() && s.isHealthy() }

func (s *server) isEjected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// isUnreachable reports whether a connection has failed and the time until the next attempt to connect has not passed yet.
func (s *server) isUnreachable(now time.Time) bool { return now.Before(s.unreachableUntil) }

// recordConnectFailure marks the server as unreachable after a failed connection, for twice as long each time.
func (s *server) recordConnectFailure(now time.Time) {
	if s.isUnreachable(now) {
		return
	}
	s.unreachableUntil = now.Add(min(minUnreachableTime<<min(s.unreachableCount, 10), maxUnreachableTime))
	s.unreachableCount++
}

// meanLatency returns the geometric moving average of the latency.
func (s *server) meanLatency() time.Duration { return time.Duration(math.Exp(s.logLatency)) }

// recentLatency returns a moving average that a single slow answer raises considerably.
func (s *server) recentLatency() time.Duration { return time.Duration(math.Exp(s.logRecentLatency)) }

// busySlots returns the estimated number of slots in use: this daemon's attempts plus the last reported calls of other daemons, which decay with age.
func (s *server) busySlots(now time.Time, halfLife time.Duration) float64 {
	others := 0.0
	if s.load.Slots > 0 {
		age := now.Sub(s.loadAt).Seconds() / halfLife.Seconds()
		others = max(0, float64(s.load.Slots-s.load.Free-s.inFlightAtLoad)) * math.Exp2(-age)
	}
	return others + float64(s.inFlight)
}

func (s *server) slotCount() float64 { return float64(max(1, s.Slots)) }

// linkDelay returns how long the long answers of other calls use the network connection of the server's VM: the last reported time less the time since.
func (s *server) linkDelay(now time.Time) time.Duration {
	return max(0, s.load.LinkDelay-now.Sub(s.loadAt))
}

// isSaturated reports whether another call would exceed saturationShare of the slots.
func (s *server) isSaturated(now time.Time, halfLife time.Duration) bool {
	return s.busySlots(now, halfLife)+1 > math.Ceil(saturationShare*s.slotCount())
}

// cost returns the load per slot with one more call, increased by penalties; lower is better. Explain shows it as the score.
func (s *server) cost(now time.Time, halfLife time.Duration, median time.Duration) float64 {
	cost := (s.busySlots(now, halfLife) + 1) / s.slotCount()
	return cost * (1 + s.historyPenalty(now, median) + s.latePenalty(now, median))
}

// historyPenalty returns the penalty for earlier errors and slow answers, which decays while there are no new answers or failures.
func (s *server) historyPenalty(now time.Time, median time.Duration) float64 {
	penalty := s.errorPenalty()
	if s.samples >= minLatencySamples {
		penalty += max(0, float64(s.recentLatency())/float64(median+latencySlack)-1)
	}
	decay := math.Exp2(-now.Sub(s.observedAt).Seconds() / historyHalfLife.Seconds())
	return penalty * decay
}

// errorPenalty returns the penalty for earlier errors without decay.
func (s *server) errorPenalty() float64 { return errorCost * s.errorRate }

// decayedErrorPenalty returns the penalty for earlier errors alone, with the same decay as historyPenalty.
func (s *server) decayedErrorPenalty(now time.Time) float64 {
	return s.errorPenalty() * math.Exp2(-now.Sub(s.observedAt).Seconds()/historyHalfLife.Seconds())
}

// latePenalty returns the penalty for the oldest unanswered attempt if it has waited longer than usual.
func (s *server) latePenalty(now time.Time, median time.Duration) float64 {
	if len(s.unanswered) == 0 || median == 0 {
		return 0
	}
	waited := s.atUsualSpeed(now, now.Sub(s.unanswered[0].sentAt))
	return min(maxLatePenalty, max(0, float64(waited)/float64(lateFactor*median+latencySlack)-1))
}

// slowStartShare returns the part of its full share of calls that the server takes: it rises to 1 in the slow-start time after its start, and in half that time after an ejection.
func (s *server) slowStartShare(now time.Time, slowStart time.Duration) float64 {
	return min(slowStartRamp(now.Sub(s.startedAt), slowStart), slowStartRamp(now.Sub(s.returnedAt), slowStart/2))
}

// slowStartRamp returns a share that rises linearly from minSlowStartShare to 1 over a duration.
func slowStartRamp(age, duration time.Duration) float64 {
	if age >= duration {
		return 1
	}
	return minSlowStartShare + (1-minSlowStartShare)*max(0, age.Seconds())/duration.Seconds()
}

// addAttempt records an attempt that has been sent.
func (s *server) addAttempt(a *attemptState) {
	s.inFlight++
	s.unanswered = append(s.unanswered, a)
}

// removeUnanswered records that an attempt no longer waits for an answer; inFlight does not change.
func (s *server) removeUnanswered(a *attemptState) {
	if i := slices.Index(s.unanswered, a); i >= 0 {
		s.unanswered = slices.Delete(s.unanswered, i, i+1)
	}
}

// recordLoad stores the load reported with an answer or a refusal.
func (s *server) recordLoad(now time.Time, route string, load Load) {
	if load.Slots <= 0 {
		return
	}
	if load.ServiceTime > 0 {
		if s.serviceTimes == nil || len(s.serviceTimes) >= maxRoutes {
			s.serviceTimes = map[string]time.Duration{}
		}
		s.serviceTimes[route] = load.ServiceTime
	}
	s.recordWait(now, route, load.Backlog)
	s.load, s.loadAt, s.inFlightAtLoad = load, now, s.inFlight
	s.speed.Record(now, load.Speed, s.speedMemory)
}

// recordSuccess records an answer without a server error.
func (s *server) recordSuccess(now time.Time, latency time.Duration) {
	s.observedAt = now
	s.consecutiveFailures, s.unreachableCount = 0, 0
	s.samples++
	s.errorRate -= errorWeight * s.errorRate
	l := math.Log(float64(max(latency, time.Microsecond)))
	if s.samples == 1 {
		s.logLatency, s.logRecentLatency = l, l
		return
	}
	if l > s.logRecentLatency {
		s.logRecentLatency += recentRiseWeight * (l - s.logRecentLatency)
	} else {
		s.logRecentLatency += recentFallWeight * (l - s.logRecentLatency)
	}
	weight := max(latencyWeight, 1/float64(s.samples))
	s.logLatency += weight * (l - s.logLatency)
}

// recordFailure records an attempt that ended without an answer or with a server error.
func (s *server) recordFailure(now time.Time) {
	s.observedAt = now
	s.consecutiveFailures++
	s.samples++
	s.errorRate += errorWeight * (1 - s.errorRate)
}
