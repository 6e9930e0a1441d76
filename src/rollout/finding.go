package rollout

import "fmt"

// Finding is what the evidence says of a version.
type Finding struct {
	Bad        bool
	Undecided  bool    // not bad, but suspect: wait for more evidence before more requests go to it
	Behind     bool    // answers since the last step are not judged yet: too few of the old servers are there to compare with
	Slow       bool    // the answers judged are slow ones, not failures
	Route      string  // with the strongest evidence, "*" for all routes together
	Answers    int     // of the new version on the route since the evidence began to point to it
	Failures   int     // or slow answers among them
	OldShare   float64 // share of failures or slow answers of the old versions at the same time
	Servers    int     // new servers with enough evidence
	BadServers int     // among them, those that do not count as good
	Evidence   float64 // log-likelihood ratio; the version is bad from Limit on
	Limit      float64
	Total      int // answers of the new version judged since the order, on all routes
}

// String returns the figures of the finding for logs and records.
func (f Finding) String() string {
	what := "failures"
	if f.Slow {
		what = "slow answers"
	}
	if f.Answers == 0 {
		return fmt.Sprintf("no evidence against the version in %d answers", f.Total)
	}
	return fmt.Sprintf("%d %s among %d answers on route %q (old servers: share %.3f), %d of %d servers bad, evidence %.1f of %.1f, %d answers in all",
		f.Failures, what, f.Answers, f.Route, f.OldShare, f.BadServers, f.Servers, f.Evidence, f.Limit, f.Total)
}
