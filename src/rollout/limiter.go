package rollout

import "time"

const senderShare = 0.8 // of the exposure that a sender uses; the rest covers requests that are counted at servers but whose callers' requests are not

// Limiter is the exposure limit of one sender for one service. It is told each request for the
// service since the order and says which may go to the new version. Since each sender keeps to the
// share by itself, so do all together.
type Limiter struct {
	ExposureShare float64 // of the service's requests that a bad version may get, for example 0.1

	order uint64
	sends uint64 // requests to the service since the order
	news  uint64 // among them, to the new version
}

// Next counts a request of a route and reports whether its first attempt is to go to the new
// version. Call it once for each request to the service, from the moment at which the order is
// known. If no new server can take the request, call Return.
func (l *Limiter) Next(now time.Time, route string, r Routing) bool {
	l.follow(r)
	l.sends++
	if !r.AllowsNew() {
		return false
	}
	if !r.AllowsOld() || float64(l.news+1) <= senderShare*l.ExposureShare*float64(l.sends) {
		l.news++
		return true
	}
	return false
}

// Return takes back the last Next that was true, because the request was not sent to the new
// version or was refused by it as not run.
func (l *Limiter) Return(route string) {
	if l.news > 0 {
		l.news--
	}
}

// MayRetryNew reports whether a further attempt of a request may go to the new version, and counts
// it as sent there if so.
func (l *Limiter) MayRetryNew(now time.Time, route string, r Routing) bool {
	l.follow(r)
	return r.AllowsNew() && !r.AllowsOld()
}

// Counts returns the requests to the service since the order, and among them those to the new
// version.
func (l *Limiter) Counts() (all, toNew uint64) { return l.sends, l.news }

func (l *Limiter) follow(r Routing) {
	if l.order != r.Order {
		*l = Limiter{ExposureShare: l.ExposureShare, order: r.Order}
	}
}
