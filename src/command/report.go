package command

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/report"
)

const stdinName = "-"

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "tell from agents' logs where calls were lost, and what the servers did meanwhile",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "window", Value: time.Second, Usage: "length of the windows"},
			&cli.IntFlag{Name: "worst", Value: 10, Usage: "number of windows in the table"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return usageProblem("report takes log files, none given", "name one or more, or - for standard input")
			}
			if cmd.Duration("window") <= 0 || cmd.Int("worst") < 0 {
				return usageProblem("window and worst must not be negative, nor window 0", "see yuccaport report --help")
			}
			b := &report.Builder{Window: cmd.Duration("window")}
			for _, file := range cmd.Args().Slice() {
				if err := readLog(b, file); err != nil {
					return problem.Wrap(problem.Usage, err, file, "log cannot be read", "name a log of an agent")
				}
			}
			r := b.Report()
			if r.Lines == 0 {
				return problem.New(problem.Usage, cmd.Args().First(), "no line of an agent's log", "give logs in JSON, as agents write them")
			}
			if cmd.Bool("json") {
				return printJSON(cmd, r)
			}
			return r.WriteTable(cmd.Root().Writer, cmd.Int("worst"))
		},
	}
}

func readLog(b *report.Builder, file string) error {
	var r io.Reader = os.Stdin
	if file != stdinName {
		f, err := os.Open(file)
		if err != nil {
			return err
		}
		defer f.Close()
		r = f
	}
	return b.Read(r)
}
