package bench

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"slices"

	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/settings"
)

// The size that the fleet is designed for.
const (
	designDaemons = 800
	designRate    = 4600.0 / 86400 // changes a second
)

// Capacity measures fleets of several sizes at several rates of change, and works out the design size from them.
type Capacity struct {
	Sizes    []int
	Rates    []float64 // changes a second
	Changes  int       // of each run
	Profile  settings.Profile
	Seed     uint64
	Log      logr.Logger
	Progress io.Writer // a line for each run, nil for none
}

// CapacityReport holds the runs and what they come to at the design size.
type CapacityReport struct {
	Profile settings.Profile `json:"profile"`
	Runs    []CapacityRun    `json:"runs"`
	Design  []CapacityFigure `json:"design"`
}

// CapacityRun is one measured fleet.
type CapacityRun struct {
	Rate   float64          `json:"rate"`
	Report DistributeReport `json:"report"`
}

// CapacityFigure is one quantity with its slopes and its value at the design size.
type CapacityFigure struct {
	Name       string  `json:"name"`
	Model      string  `json:"model"`      // over the sizes: line, or shared (a + b/daemons)
	PerDaemon  float64 `json:"per_daemon"` // slope over the sizes (of 1/daemons when shared), at the lowest rate measured
	PerRate    float64 `json:"per_rate"`   // added by each further change a second, at the largest size measured
	AtDesign   float64 `json:"at_design"`
	Multiplied float64 `json:"at_ten_times_the_rate"` // as AtDesign, at ten times the design's rate of change
}

// quantity is a figure that the runs measure.
type quantity struct {
	name   string
	shared bool // a part of it is a fleet's fixed cost, shared out over the daemons
	of     func(DistributeReport) float64
}

func (q quantity) x(daemons float64) float64 {
	if q.shared {
		return 1 / daemons
	}
	return daemons
}

func (q quantity) model() string {
	if q.shared {
		return "shared"
	}
	return "line"
}

func quantities() []quantity {
	return []quantity{
		{"control_bytes_per_daemon_s", true, func(r DistributeReport) float64 { return r.ControlBytesPerDaemonS }},
		{"cpu_core_share_per_daemon", false, func(r DistributeReport) float64 { return r.CPUCoreSharePerDaemon }},
		{"rss_bytes_per_daemon", false, func(r DistributeReport) float64 { return r.RSSBytesPerDaemon }},
		{"store_reads_s", false, func(r DistributeReport) float64 { return r.StoreReadsS }},
		{"store_writes_s", false, func(r DistributeReport) float64 { return r.StoreWritesS }},
		{"convergence_p99_ms", false, func(r DistributeReport) float64 { return r.ConvergenceP99MS }},
	}
}

// Run measures every size at every rate, one after another; the error of a broken promise comes with the report.
func (c *Capacity) Run(ctx context.Context) (CapacityReport, error) {
	out := CapacityReport{Profile: c.Profile}
	var held error
	for _, rate := range c.Rates {
		for _, n := range c.Sizes {
			debug.FreeOSMemory() // so that a run does not count the memory of the one before
			d := &Distribute{Daemons: n, Changes: c.Changes, Rate: rate, Profile: c.Profile, Seed: c.Seed, Log: c.Log}
			r, err := d.Run(ctx)
			if err != nil {
				return out, err
			}
			if err := r.Held(); err != nil {
				held = err
			}
			out.Runs = append(out.Runs, CapacityRun{Rate: rate, Report: r})
			c.say("%d daemons at %g changes a second: %.0f control bytes a second, convergence p99 %.1f ms", n, rate, r.ControlBytesPerDaemonS, r.ConvergenceP99MS)
		}
	}
	for _, q := range quantities() {
		out.Design = append(out.Design, c.figure(q, out.Runs))
	}
	return out, held
}

// figure fits the quantity's model over the sizes at each rate, and a line over the rates at the design size.
func (c *Capacity) figure(q quantity, runs []CapacityRun) CapacityFigure {
	var atDesign, atLargest []float64
	f := CapacityFigure{Name: q.name, Model: q.model()}
	for i, rate := range c.Rates {
		var xs, ys []float64
		for _, r := range runs {
			if r.Rate == rate {
				xs = append(xs, q.x(float64(r.Report.Daemons)))
				ys = append(ys, q.of(r.Report))
			}
		}
		l := fitLine(xs, ys)
		if i == 0 {
			f.PerDaemon = l.slope
		}
		atDesign = append(atDesign, l.at(q.x(designDaemons)))
		atLargest = append(atLargest, l.at(q.x(float64(slices.Max(c.Sizes)))))
	}
	byRate := fitLine(c.Rates, atDesign)
	f.PerRate = fitLine(c.Rates, atLargest).slope
	f.AtDesign = byRate.at(designRate)
	f.Multiplied = byRate.at(10 * designRate)
	return f
}

func (c *Capacity) say(format string, args ...any) {
	if c.Progress != nil {
		_, _ = fmt.Fprintf(c.Progress, format+"\n", args...)
	}
}
