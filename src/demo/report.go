package demo

import (
	"fmt"

	"github.com/yuccaport/yuccaport/src/problem"
)

// Report is the outcome of a demo.
type Report struct {
	Calls          int     `json:"calls"`
	Failed         int     `json:"failed"`       // calls without a whole answer after the caller's own repeats
	MayHaveRun     int     `json:"may_have_run"` // payments among them whose outcome the caller was told is unknown
	Doubled        int     `json:"doubled"`      // payments that ran more than once
	Crossed        int     `json:"crossed"`      // answers that belonged to another request
	Truncated      int     `json:"truncated"`    // answers presented as whole that were not
	NotRunButRan   int     `json:"not_run_but_ran"`
	AppliedVersion uint64  `json:"applied_version"`
	Proxies        int     `json:"proxies"`
	ProxiesInForce int     `json:"proxies_in_force"`
	ConvergenceMS  float64 `json:"convergence_ms"` // from acceptance until in force on every running proxy
}

// Held returns an error of kind problem.Broken when a promise did not hold.
func (r Report) Held() error {
	broken := r.Doubled + r.Crossed + r.Truncated + r.NotRunButRan
	if broken == 0 && r.ProxiesInForce == r.Proxies && r.AppliedVersion > 0 && r.Calls > r.Failed {
		return nil
	}
	return problem.New(problem.Broken, "demo",
		fmt.Sprintf("doubled %d, crossed %d, truncated %d, not run but ran %d, in force on %d of %d proxies, %d of %d calls failed",
			r.Doubled, r.Crossed, r.Truncated, r.NotRunButRan, r.ProxiesInForce, r.Proxies, r.Failed, r.Calls),
		"run it again with --log to see the decisions, and file an issue with them")
}
