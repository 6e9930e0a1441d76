package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// judgePeriod is the time over which reports are gathered before they are compared. It is two report
// intervals, so that a disturbance of all versions shows in the old servers' reports as well.
const judgePeriod = 400 * time.Millisecond

const (
	minPeriodAnswers = 10              // of the old servers on a route, without which a period goes on: fewer don't show a disturbance reliably
	maxJudgePeriod   = 2 * time.Second // after which a period ends all the same, since the old servers may have failed altogether
)

// allRoutes is the route of the test over all routes together.
const allRoutes = "*"

// kind is a kind of bad answer that is tested for by itself.
type kind uint8

const (
	kindFailure     kind = iota
	kindLoadFailure      // failures at high load
	kindSlow
	kindCount
)

// Judge decides from the reports of all servers of a service whether the target version is bad. See
// docs/design/rollout.md for the test and its error rates.
type Judge struct {
	TargetVersion string
	Servers       int // of the target version that are expected; fewer may have answered yet

	servers   map[uint64]*serverReports
	baselines map[string]*baseline // by route
	strata    map[string]*[kindCount]stratum
	oldShares map[string]*[kindCount]float64 // at the end of the last period
	periodEnd time.Time

	isHolding bool // see Hold
	heldAt    time.Time
	total     int
	news      map[uint64]bool // servers of the target version that have answered
	finding   Finding
}

// Add takes in a report.
func (j *Judge) Add(now time.Time, r wire.RolloutReport) {
	if j.servers == nil {
		j.servers, j.baselines = map[uint64]*serverReports{}, map[string]*baseline{allRoutes: {}}
		j.news = map[uint64]bool{}
		j.strata, j.oldShares = map[string]*[kindCount]stratum{}, map[string]*[kindCount]float64{}
		j.periodEnd = now.Add(judgePeriod)
	}
	s := j.servers[r.Member]
	if s == nil {
		s = &serverReports{version: r.Version, routes: map[string]*reportedRoute{}}
		j.servers[r.Member] = s
	}
	s.version = r.Version // of the answers since the last report, should it have changed
	s.add(r)
}

// Find evaluates the evidence, once each judgePeriod.
func (j *Judge) Find(now time.Time) Finding {
	if j.servers == nil || now.Before(j.periodEnd) {
		return j.finding
	}
	j.periodEnd = now.Add(judgePeriod)
	all := &routeTally{}
	sums := j.oldSums()
	for route, t := range sums {
		if j.isComplete(now, route, t) {
			j.baselines[route].endPeriod(t)
			all.add(t)
		}
	}
	j.baselines[allRoutes].endPeriod(all)
	for route, t := range sums {
		if j.isComplete(now, route, t) {
			j.testRoute(now, route)
			j.baselines[route].periodStart = now
		}
	}
	j.isHolding = false
	j.finding = j.worst()
	j.finding.Total, j.finding.Behind = j.total, j.isBehind()
	return j.finding
}

// Hold judges the new servers' answers of the current period together with those of the next one. Call it
// when more requests have just moved to the new servers: within the period, the old ones have answered
// earlier than the new ones, so that a disturbance of all servers that begins meanwhile would seem to
// be the new version's.
func (j *Judge) Hold(now time.Time) {
	j.isHolding, j.heldAt, j.periodEnd = true, now, now.Add(judgePeriod)
}

// oldSums returns the old servers' counts of the period for each known route.
func (j *Judge) oldSums() map[string]*routeTally {
	sums := map[string]*routeTally{}
	for _, s := range j.servers {
		for route, known := range s.routes {
			if sums[route] == nil {
				sums[route] = &routeTally{}
			}
			if j.baselines[route] == nil {
				j.baselines[route] = &baseline{}
			}
			if s.version != j.TargetVersion && known.isNew {
				sums[route].add(&known.period)
			}
		}
	}
	return sums
}

// isComplete reports whether a route's period can be judged: the old servers have answered often
// enough in it to be compared with. This keeps a disturbance of all servers from being taken for a
// bad version once few requests go to the old ones.
func (j *Judge) isComplete(now time.Time, route string, old *routeTally) bool {
	b := j.baselines[route]
	return old.total() >= minPeriodAnswers || b.answers() == 0 || now.Sub(b.periodStart) >= maxJudgePeriod
}

// isBehind reports whether there are answers of the new servers on a route of which none since the last
// Hold has been judged.
func (j *Judge) isBehind() bool {
	for _, s := range j.servers {
		for route, known := range s.routes {
			if s.version == j.TargetVersion && known.isNew && j.baselines[route].testedAt.Before(j.heldAt) {
				return true
			}
		}
	}
	return false
}

// testRoute takes the new servers' counts of a route's period into the tests.
func (j *Judge) testRoute(now time.Time, route string) {
	b := j.baselines[route]
	// Reports come at different times, so that the new servers' may show the start of a disturbance
	// of all servers up to a report interval earlier.
	b.isHeld = j.isHolding || b.hasJumped && !b.isHeld
	isHeld := b.isHeld
	if !isHeld {
		b.testedAt = now
	}
	if b.answers() < minShareSamples {
		b = j.baselines[allRoutes]
	}
	for id, s := range j.servers {
		if s.version != j.TargetVersion {
			s.endPeriod(route)
			continue
		}
		known := s.routes[route]
		if isHeld || known == nil || !known.isNew {
			continue
		}
		t := &known.period
		j.total += t.total()
		j.news[id] = true
		j.test(id, route, kindFailure, t.total(), int(t.failures[0]+t.failures[1]), b.failureShare(false))
		j.test(id, route, kindLoadFailure, int(t.answers[1]), int(t.failures[1]), b.failureShare(true))
		if n, slow, oldShare, ok := j.slowAnswers(route, t); ok {
			j.test(id, route, kindSlow, n, slow, oldShare)
		}
		s.endPeriod(route)
	}
}

// test adds to the test of a route and to that of all routes. Both use the old servers' share on that
// route, so the mix of routes does not matter.
func (j *Judge) test(server uint64, route string, k kind, answers, bad int, oldShare float64) {
	for _, name := range []string{route, allRoutes} {
		if j.strata[name] == nil {
			j.strata[name], j.oldShares[name] = &[kindCount]stratum{}, &[kindCount]float64{}
		}
		j.strata[name][k].add(server, answers, bad, oldShare)
		j.oldShares[name][k] = oldShare
	}
}

// slowAnswers returns how many of a server's answers of the period are slow. Calls that were cut are
// counted only if they had already run long enough to be slow.
func (j *Judge) slowAnswers(route string, t *routeTally) (answers, slow int, oldShare float64, ok bool) {
	var limits [2]int
	for class := range 2 {
		if limits[class], ok = j.baselines[route].slowLimit(class); !ok {
			return 0, 0, 0, false
		}
		for k, n := range t.durations[class] {
			answers += int(n)
			if k > limits[class] {
				slow += int(n)
			}
		}
	}
	for k, n := range t.cut {
		if k > max(limits[0], limits[1]) {
			answers, slow = answers+int(n), slow+int(n)
		}
	}
	return answers, slow, j.baselines[route].slowShare(limits), true
}

// worst returns the finding with the strongest evidence: a bad one before a suspect one before the
// rest.
func (j *Judge) worst() Finding {
	worst := Finding{Limit: evidenceLimit}
	for _, route := range slices.Sorted(maps.Keys(j.strata)) {
		for k := range kindCount {
			f := j.strata[route][k].find(max(j.Servers, len(j.news)))
			f.Route, f.Slow, f.OldShare = route, k == kindSlow, j.oldShares[route][k]
			if cmp.Or(cmp.Compare(rank(f), rank(worst)), cmp.Compare(f.Evidence, worst.Evidence)) > 0 {
				worst = f
			}
		}
	}
	return worst
}

func rank(f Finding) int {
	switch {
	case f.Bad:
		return 2
	case f.Undecided:
		return 1
	}
	return 0
}
