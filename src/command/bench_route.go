package command

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/bench"
	"github.com/yuccaport/yuccaport/src/dispatch"
)

func benchRouteCommand() *cli.Command {
	return &cli.Command{
		Name:  "route",
		Usage: "measure callers' requests through real daemons",
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "rate", Usage: "calls a second at each daemon", Value: 55},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.StringFlag{Name: "deployment", Usage: "hollins or puntarenas", Value: "hollins"},
			&cli.StringFlag{Name: "policy", Usage: "two_choices, round_robin or least_in_flight", Value: string(dispatch.SelectTwoChoices)},
			&cli.StringFlag{Name: "baseline", Usage: "a policy to measure after it on the same calls"},
			&cli.StringFlag{Name: "faults", Usage: "comma separated: " + strings.Join(bench.RouteFaultNames(), ", ")},
			&cli.DurationFlag{Name: "work", Usage: "time that a request takes at a backend server, 0 for the deployment's"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "log", Usage: "write the daemons' log lines to `FILE`; without it they are written and dropped", Value: os.DevNull},
			jsonFlag(),
		},
		Action: runBenchRoute,
	}
}

func runBenchRoute(ctx context.Context, cmd *cli.Command) error {
	d, err := bench.DeploymentNamed(cmd.String("deployment"))
	if err != nil {
		return err
	}
	if w := cmd.Duration("work"); w > 0 {
		d.WorkTime = w
	}
	log, closeLog, err := logFile(cmd.String("log"))
	if err != nil {
		return err
	}
	defer closeLog()
	r := &bench.Route{
		Deployment: d, Rate: cmd.Float("rate"), Duration: cmd.Duration("duration"), Seed: cmd.Uint64("seed"),
		Policy: dispatch.Selection(cmd.String("policy")), Baseline: dispatch.Selection(cmd.String("baseline")),
		Faults: splitList(cmd.String("faults")), Log: log, Progress: cmd.Root().Writer,
	}
	if s := cmd.String("faults"); s != "" {
		r.Faults = splitList(s)
	}
	report, err := r.Run(ctx)
	if err != nil {
		return err
	}
	return reportBench(cmd, report, report.Held())
}
