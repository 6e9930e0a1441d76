package bench

import (
	"fmt"

	"github.com/yuccaport/yuccaport/src/problem"
)

// RouteReport is what Route has measured.
//
// Added times are those of plain reads: the caller's time from the moment a call was due, less the backend server's own handler time.
type RouteReport struct {
	Calls            int     `json:"calls"`
	OK               int     `json:"ok"`
	RefusedNotRun    int     `json:"refused_not_run"`
	Failed           int     `json:"failed"`
	GoodputShare     float64 `json:"goodput_share"` // answered calls, as a share of what was offered or of the capacity, whichever is less
	P50MS            float64 `json:"p50_ms"`
	P99MS            float64 `json:"p99_ms"`
	AddedP50MS       float64 `json:"added_p50_ms"`
	AddedP99MS       float64 `json:"added_p99_ms"`
	DirectAddedP99MS float64 `json:"direct_added_p99_ms"` // of calls to a backend server without a daemon, in the same run
	AttemptsPerCall  float64 `json:"attempts_per_call"`
	Doubled          int     `json:"doubled"`
	Crossed          int     `json:"crossed"`
	Truncated        int     `json:"truncated"`
	NotRunButRan     int     `json:"not_run_but_ran"`
	SlotsExceeded    int     `json:"slots_exceeded"`
	LateNewWork      int     `json:"late_new_work"` // runs begun more than 2 s after their backend server began to drain

	Baseline *RouteReport `json:"baseline,omitempty"` // the same calls and faults with the baseline's choice
}

// Held returns an error of kind problem.Broken when a promise did not hold.
func (r RouteReport) Held() error {
	broken := r.Doubled + r.Crossed + r.Truncated + r.NotRunButRan + r.SlotsExceeded + r.LateNewWork
	if broken == 0 {
		return nil
	}
	return problem.New(problem.Broken, "bench route",
		fmt.Sprintf("doubled %d, crossed %d, truncated %d, not run but ran %d, slots exceeded %d, late new work %d",
			r.Doubled, r.Crossed, r.Truncated, r.NotRunButRan, r.SlotsExceeded, r.LateNewWork),
		"run it again with --log to see the decisions, and file an issue with them")
}
