package command

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/demo"
	"github.com/yuccaport/yuccaport/src/logs"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small mesh on loopback, with callers, an edit, a drain and a crash",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "of the callers' load", Value: 5 * time.Second},
			&cli.IntFlag{Name: "callers", Value: 16},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "log", Usage: "write the daemons' log lines to `FILE`"},
			jsonFlag(),
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	if d := cmd.Duration("duration"); d < time.Second {
		return usageProblem(fmt.Sprintf("--duration is %s", d), "give a second or more")
	}
	if n := cmd.Int("callers"); n < 1 || n > 1000 {
		return usageProblem(fmt.Sprintf("--callers is %d", n), "give 1 to 1000")
	}
	log, closeLog, err := logFile(cmd.String("log"))
	if err != nil {
		return err
	}
	defer closeLog()
	d := &demo.Demo{Duration: cmd.Duration("duration"), Callers: cmd.Int("callers"), Seed: cmd.Uint64("seed"), Log: log, Progress: cmd.Root().Writer}
	r, err := d.Run(ctx)
	if err != nil {
		return err
	}
	printDemo(cmd, r)
	if cmd.Bool("json") {
		if err := printJSON(cmd, r); err != nil {
			return err
		}
	}
	return r.Held()
}

// logFile returns a logger that writes to a file, or one that discards when no name is given.
func logFile(name string) (logr.Logger, func(), error) {
	if name == "" {
		return logr.Discard(), func() {}, nil
	}
	f, err := os.Create(name)
	if err != nil {
		return logr.Discard(), nil, usageProblem(fmt.Sprintf("--log: %v", err), "name a file that can be written")
	}
	return logs.New(f, logs.FormatJSON, 0), func() { _ = f.Close() }, nil
}

func printDemo(cmd *cli.Command, r demo.Report) {
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 4, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"calls", r.Calls}, {"failed", r.Failed}, {"of these, payments told \"may have run\"", r.MayHaveRun},
		{"payments run twice", r.Doubled}, {"answers crossed", r.Crossed}, {"answers truncated", r.Truncated},
		{"version accepted", r.AppliedVersion}, {"proxies in force", fmt.Sprintf("%d of %d", r.ProxiesInForce, r.Proxies)},
		{"convergence", fmt.Sprintf("%.1f ms", r.ConvergenceMS)},
	}
	for _, x := range rows {
		fmt.Fprintf(w, "%s\t%v\n", x.name, x.value)
	}
	_ = w.Flush()
}
