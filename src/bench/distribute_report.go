package bench

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
)

// DistributeReport is the outcome of a Distribute; processor time and memory are those of the whole process, stand-ins included, shared out over the daemons.
type DistributeReport struct {
	Daemons                int     `json:"daemons"`
	Changes                int     `json:"changes"`
	ConvergenceP50MS       float64 `json:"convergence_p50_ms"` // from acceptance until in force on every reachable daemon
	ConvergenceP99MS       float64 `json:"convergence_p99_ms"`
	ConvergenceMaxMS       float64 `json:"convergence_max_ms"`
	ControlBytesPerDaemonS float64 `json:"control_bytes_per_daemon_s"` // sent and received: links, roster, store
	StoreReadsS            float64 `json:"store_reads_s"`
	StoreWritesS           float64 `json:"store_writes_s"`
	CPUCoreSharePerDaemon  float64 `json:"cpu_core_share_per_daemon"`
	RSSBytesPerDaemon      float64 `json:"rss_bytes_per_daemon"`
	VersionsBackward       int     `json:"versions_backward"`
	DanglingRoutes         int     `json:"dangling_routes"`
	PartialVersions        int     `json:"partial_versions"`
	NotInForce             int     `json:"not_in_force"` // pairs of a change and a daemon that never served it
}

// Held returns an error of kind problem.Broken when a promise did not hold.
func (r DistributeReport) Held() error {
	if r.VersionsBackward+r.DanglingRoutes+r.PartialVersions+r.NotInForce == 0 && r.Changes > 0 {
		return nil
	}
	return problem.New(problem.Broken, "bench distribute",
		fmt.Sprintf("changes %d, versions backward %d, dangling routes %d, partial versions %d, not in force %d",
			r.Changes, r.VersionsBackward, r.DanglingRoutes, r.PartialVersions, r.NotInForce),
		"run it again with --log to see the decisions, and file an issue with them")
}

// percentile returns the p-th hundredth of sorted times in milliseconds.
func percentile(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := int(math.Ceil(p/100*float64(len(sorted)))) - 1
	return milliseconds(sorted[min(max(i, 0), len(sorted)-1)])
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

// converge fills in the convergence of the changes and what never came into force.
func (r *DistributeReport) converge(o *observer, changes []change, outages []outage) []change {
	var times []time.Duration
	var slowest []change
	var worst time.Duration
	for _, c := range changes {
		d, missing := o.convergence(c, outages)
		r.NotInForce += missing
		times = append(times, d)
		if d > worst {
			worst = d
			slowest = append(slowest, c)
		}
	}
	slices.Sort(times)
	r.Changes = len(changes)
	r.ConvergenceP50MS = percentile(times, 50)
	r.ConvergenceP99MS = percentile(times, 99)
	r.ConvergenceMaxMS = percentile(times, 100)
	return slowest
}

// convergence returns the longest lag of a change, and how many daemons never served it.
func (o *observer) convergence(c change, outages []outage) (time.Duration, int) {
	var longest time.Duration
	missing := 0
	for _, l := range o.lives {
		lag, ok := l.lag(c, outages)
		switch {
		case ok:
			longest = max(longest, lag)
		case l.ended.IsZero():
			missing++
		}
	}
	return longest, missing
}
