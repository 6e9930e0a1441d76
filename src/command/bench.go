package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/bench"
	"github.com/yuccaport/yuccaport/src/settings"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:     "bench",
		Usage:    "measure real daemons against stand-ins on loopback",
		Commands: []*cli.Command{benchDistributeCommand()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return usageProblem(fmt.Sprintf("bench %q is not one", cmd.Args().First()), "see yuccaport bench --help")
		},
	}
}

func benchDistributeCommand() *cli.Command {
	return &cli.Command{
		Name:  "distribute",
		Usage: "measure convergence time and control bytes of accepted changes",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "daemons", Value: 12, Usage: "daemons, each with its own sockets"},
			&cli.IntFlag{Name: "changes", Value: 20, Usage: "accepted changes"},
			&cli.Float64Flag{Name: "rate", Value: 2, Usage: "changes a second"},
			&cli.StringFlag{Name: "profile", Value: string(settings.ProfileFast), Usage: "fast or thrifty"},
			&cli.StringFlag{Name: "faults", Usage: "comma-separated: " + strings.Join(bench.FaultNames(), ", ")},
			&cli.StringFlag{Name: "baseline", Usage: "watch_each: every daemon watches the store by itself"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "log", Usage: "write the daemons' log lines to `FILE`"},
			jsonFlag(),
		},
		Action: benchDistribute,
	}
}

func benchDistribute(ctx context.Context, cmd *cli.Command) error {
	log, closeLog, err := logFile(cmd.String("log"))
	if err != nil {
		return err
	}
	defer closeLog()
	d := &bench.Distribute{
		Daemons: cmd.Int("daemons"), Changes: cmd.Int("changes"), Rate: cmd.Float64("rate"), Seed: cmd.Uint64("seed"),
		Profile: settings.Profile(cmd.String("profile")), Baseline: cmd.String("baseline"), Faults: splitList(cmd.String("faults")), Log: log,
	}
	if !cmd.Bool("json") {
		d.Progress = cmd.Root().Writer
	}
	r, err := d.Run(ctx)
	if err != nil {
		return err
	}
	return reportBench(cmd, r, r.Held())
}

// reportBench prints a report, one key a line or as JSON, and returns whether the promises held.
func reportBench(cmd *cli.Command, report any, held error) error {
	if cmd.Bool("json") {
		if err := printJSON(cmd, report); err != nil {
			return err
		}
		return held
	}
	if err := printFields(cmd, report); err != nil {
		return err
	}
	return held
}

func splitList(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' || r == ' ' })
}
