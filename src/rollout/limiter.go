package rollout

import "time"

const (
	// senderShare is the part of the exposure that a sender uses in StageCanary. The rest covers the
	// shift and requests that are counted at the new version more than once, as repeats are.
	senderShare = 0.8

	// shiftShare is the part of the exposure that a sender uses before the last step of the shift, of
	// the requests that it expects to send until the deadline.
	shiftShare = 0.9

	rareRouteFactor  = 3   // a route with few requests may send up to this multiple of the common share
	minElapsedShare  = 0.1 // of the duration, from which on a rate of requests is extrapolated
	maxLimiterRoutes = 64  // counted each by itself
)

// Limiter is the exposure limit of one sender for one service. It is told each request for the
// service since the order and says which may go to the new version. Since each sender keeps to the
// share by itself, so do all together.
type Limiter struct {
	ExposureShare float64 // of the service's requests that a bad version may get, for example 0.1

	order  uint64
	sends  uint64  // requests to the service since the order
	news   uint64  // among them, to the new version
	credit float64 // requests that may go to the new version in StageShift
	routes map[string]*routeCounts
}

// routeCounts counts a route's requests since the order.
type routeCounts struct{ sends, news uint64 }

// Next counts a request of a route and reports whether its first attempt is to go to the new
// version. Call it once for each request to the service, from the moment at which the order is
// known. If no new server can take the request, call Return.
func (l *Limiter) Next(now time.Time, route string, r Routing) bool {
	l.follow(r)
	if r.Order == 0 {
		return false
	}
	l.sends++
	counts := l.route(route)
	counts.sends++
	if !l.allows(now, counts, r) {
		return false
	}
	l.news++
	counts.news++
	return true
}

func (l *Limiter) allows(now time.Time, counts *routeCounts, r Routing) bool {
	switch {
	case !r.AllowsNew():
		return false
	case !r.AllowsOld():
		return true
	case r.Stage == StageCanary:
		return l.allowsCanary(counts)
	}
	l.credit = min(2, l.credit+r.Share) // more than 1, so that a fraction is carried over
	if l.credit < 1 || r.Share < finalShare && float64(l.news+1) > shiftShare*l.ExposureShare*l.expectedSends(now, r) {
		return false
	}
	l.credit--
	return true
}

// allowsCanary reports whether a request may go to the new version in StageCanary. One request of
// the limit is kept for routes that have had fewer than their equal share, so that those with few
// requests are judged as well.
func (l *Limiter) allowsCanary(counts *routeCounts) bool {
	share := senderShare * l.ExposureShare
	left := share*float64(l.sends) - float64(l.news)
	isBehind := counts.news*uint64(len(l.routes)) <= l.news && float64(counts.news+1) <= max(1, rareRouteFactor*share*float64(counts.sends))
	return left >= 2 || left >= 1 && isBehind
}

// expectedSends returns how many requests the sender expects to have sent until the deadline.
func (l *Limiter) expectedSends(now time.Time, r Routing) float64 {
	elapsed := max(now.Sub(r.Started).Seconds(), minElapsedShare*r.Duration.Seconds())
	return float64(l.sends) * max(1, r.Duration.Seconds()/elapsed)
}

// Return takes back a Next that was true, because the request was not sent to the new version or was
// refused by it as not run.
func (l *Limiter) Return(route string) {
	if counts := l.route(route); counts.news > 0 && l.news > 0 {
		counts.news--
		l.news--
	}
}

// Dropped takes back a request that Next has counted, because no server has run it: what is refused
// everywhere does not reach the service and allows no further request to the new version.
func (l *Limiter) Dropped(route string) {
	if counts := l.route(route); counts.sends > 0 && l.sends > 0 {
		counts.sends--
		l.sends--
	}
}

// MayRetryNew reports whether a further attempt of a request may go to the new version, and counts
// it as sent there if so.
func (l *Limiter) MayRetryNew(now time.Time, route string, r Routing) bool {
	l.follow(r)
	if !r.AllowsNew() || r.AllowsOld() {
		return false
	}
	l.news++
	l.route(route).news++
	return true
}

// Counts returns the requests to the service since the order, and among them those to the new
// version.
func (l *Limiter) Counts() (all, toNew uint64) { return l.sends, l.news }

func (l *Limiter) route(name string) *routeCounts {
	if l.routes == nil {
		l.routes = map[string]*routeCounts{}
	}
	if l.routes[name] == nil && len(l.routes) >= maxLimiterRoutes {
		name = ""
	}
	counts := l.routes[name]
	if counts == nil {
		counts = &routeCounts{}
		l.routes[name] = counts
	}
	return counts
}

func (l *Limiter) follow(r Routing) {
	if l.order != r.Order {
		*l = Limiter{ExposureShare: l.ExposureShare, order: r.Order}
	}
}
