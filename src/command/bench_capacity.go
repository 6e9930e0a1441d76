package command

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/bench"
	"github.com/yuccaport/yuccaport/src/settings"
)

func benchCapacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure slopes over fleet sizes and rates of change, and work out the design size",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "sizes", Usage: "daemons of each fleet", Value: []int{48, 100, 200}},
			&cli.FloatSliceFlag{Name: "rates", Usage: "changes a second", Value: []float64{0.5, 2}},
			&cli.IntFlag{Name: "changes", Usage: "of each run", Value: 20},
			&cli.StringFlag{Name: "profile", Usage: "fast or thrifty", Value: string(settings.ProfileFast)},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			jsonFlag(),
		},
		Action: benchCapacity,
	}
}

func benchCapacity(ctx context.Context, cmd *cli.Command) error {
	c := &bench.Capacity{
		Sizes: cmd.IntSlice("sizes"), Rates: cmd.FloatSlice("rates"), Changes: cmd.Int("changes"),
		Profile: settings.Profile(cmd.String("profile")), Seed: cmd.Uint64("seed"), Progress: cmd.Root().Writer,
	}
	r, err := c.Run(ctx)
	if err != nil && len(r.Design) == 0 {
		return err
	}
	if perr := printCapacity(cmd, r); perr != nil {
		return perr
	}
	if cmd.Bool("json") {
		if jerr := printJSON(cmd, r); jerr != nil {
			return jerr
		}
	}
	return err
}

// printCapacity writes the tables that docs/CAPACITY.md quotes.
func printCapacity(cmd *cli.Command, r bench.CapacityReport) error {
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 4, 1, ' ', 0)
	fmt.Fprintf(w, "\n| daemons\t| changes/s\t| p50 ms\t| p99 ms\t| max ms\t| control B/s\t| cpu share\t| RSS MB\t| reads/s\t| writes/s\t|\n")
	fmt.Fprintf(w, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|\n")
	for _, x := range r.Runs {
		d := x.Report
		fmt.Fprintf(w, "| %d\t| %g\t| %.1f\t| %.1f\t| %.1f\t| %.0f\t| %.4f\t| %.1f\t| %.1f\t| %.1f\t|\n", d.Daemons, x.Rate,
			d.ConvergenceP50MS, d.ConvergenceP99MS, d.ConvergenceMaxMS, d.ControlBytesPerDaemonS, d.CPUCoreSharePerDaemon, d.RSSBytesPerDaemon/1e6, d.StoreReadsS, d.StoreWritesS)
	}
	fmt.Fprintf(w, "\n| %s profile\t| model\t| slope\t| per change/s\t| at design\t| at 10x changes\t|\n| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|\n", r.Profile)
	for _, f := range r.Design {
		fmt.Fprintf(w, "| %s\t| %s\t| %.3g\t| %.3g\t| %.4g\t| %.4g\t|\n", f.Name, f.Model, f.PerDaemon, f.PerRate, f.AtDesign, f.Multiplied)
	}
	return w.Flush()
}
