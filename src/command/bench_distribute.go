package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/bench"
	"github.com/yuccaport/yuccaport/src/settings"
)

func distributeCommand() *cli.Command {
	return &cli.Command{
		Name:  "distribute",
		Usage: "measure how accepted changes come into force on real daemons",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "daemons", Value: 12},
			&cli.IntFlag{Name: "changes", Value: 40},
			&cli.FloatFlag{Name: "rate", Usage: "changes a second", Value: 2},
			&cli.StringFlag{Name: "profile", Usage: "fast or thrifty", Value: string(settings.ProfileFast)},
			&cli.StringFlag{Name: "faults", Usage: "comma separated: " + strings.Join(bench.FaultNames(), ", ")},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "baseline", Usage: "watch_each: every daemon watches the store"},
			&cli.StringFlag{Name: "log", Usage: "write the daemons' log lines to `FILE`"},
			jsonFlag(),
		},
		Action: runDistribute,
	}
}

func runDistribute(ctx context.Context, cmd *cli.Command) error {
	profile := settings.Profile(cmd.String("profile"))
	if profile != settings.ProfileFast && profile != settings.ProfileThrifty {
		return usageProblem(fmt.Sprintf("--profile is %q", profile), "give fast or thrifty")
	}
	log, closeLog, err := logFile(cmd.String("log"))
	if err != nil {
		return err
	}
	defer closeLog()
	d := &bench.Distribute{
		Daemons: cmd.Int("daemons"), Changes: cmd.Int("changes"), Rate: cmd.Float("rate"), Profile: profile,
		Baseline: cmd.String("baseline"), Seed: cmd.Uint64("seed"), Log: log, Progress: cmd.Root().Writer,
	}
	if s := cmd.String("faults"); s != "" {
		d.Faults = strings.Split(s, ",")
	}
	r, err := d.Run(ctx)
	if err != nil {
		return err
	}
	printDistribute(cmd, r)
	if cmd.Bool("json") {
		if err := printJSON(cmd, r); err != nil {
			return err
		}
	}
	return r.Held()
}

func printDistribute(cmd *cli.Command, r bench.DistributeReport) {
	_, _ = fmt.Fprintf(cmd.Root().Writer, "convergence p50 %.1f ms, p99 %.1f ms, max %.1f ms over %d changes and %d daemons\n",
		r.ConvergenceP50MS, r.ConvergenceP99MS, r.ConvergenceMaxMS, r.Changes, r.Daemons)
}
