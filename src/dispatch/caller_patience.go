package dispatch

import "time"

const (
	patienceRiseDivisor = 4   // a longer time until the deadline moves the estimate by 1/4 of the difference
	patienceFallDivisor = 64  // a shorter one by 1/64, since repeated requests have less time left
	repeatedShare       = 0.8 // of the usual time until the deadline; a request with less left is taken for a repeated one, a smaller difference for one between callers
)

// callerPatience estimates, for each route, how much time new requests have until their deadline. A caller that repeats a refused request has less left,
// since its deadline counts from its first attempt, and so does the latency objective of the route; nothing else tells a repeated request from a new one.
// A call whose parent has used most of its own time has less left, too, and counts as repeated in the same way.
type callerPatience struct{ byRoute map[routeKey]time.Duration }

// elapsed records the time that a request has until its deadline and returns how long its caller has waited already, 0 for a new request.
func (p *callerPatience) elapsed(k routeKey, remaining time.Duration) time.Duration {
	usual, ok := p.byRoute[k]
	switch {
	case !ok && (p.byRoute == nil || len(p.byRoute) >= maxRoutes):
		p.byRoute = map[routeKey]time.Duration{}
		fallthrough
	case !ok:
		usual = remaining
	case remaining > usual:
		usual += (remaining - usual) / patienceRiseDivisor
	default:
		usual -= (usual - remaining) / patienceFallDivisor
	}
	p.byRoute[k] = usual
	if float64(remaining) >= repeatedShare*float64(usual) {
		return 0
	}
	return usual - remaining
}
