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
		Baseline: cmd.String("baseline"), Faults: splitList(cmd.String("faults")), Seed: cmd.Uint64("seed"), Log: log, Progress: cmd.Root().Writer,
	}
	r, err := d.Run(ctx)
	if err != nil {
		return err
	}
	return reportBench(cmd, r, r.Held())
}
