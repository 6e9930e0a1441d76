package command

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/booking"
	"github.com/yuccaport/yuccaport/src/deposit"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/relay"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/trace"
)

// cores makes the decision core that a trace was recorded from.
var cores = map[string]func(trace.Header) (trace.Core, error){
	"booking":  booking.NewReplay,
	"deposit":  deposit.NewReplay,
	"dispatch": dispatch.NewReplay,
	"relay":    relay.NewReplay,
	"roster":   roster.NewReplay,
}

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "replay recorded traces against their stated outcomes",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return usageProblem("replay takes trace files, none given", "name one or more, such as testdata/traces/*.jsonl")
			}
			for _, file := range cmd.Args().Slice() {
				t, err := replayFile(file)
				if err != nil {
					return problem.Wrap(problem.Usage, err, file, "replay differs", "see docs/TRACES.md")
				}
				printf(cmd, "%s: %s: %d events as stated\n", file, t.Header.Title, len(t.Entries))
			}
			return nil
		},
	}
}

func replayFile(file string) (*trace.Trace, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t, err := trace.Read(f)
	if err != nil {
		return nil, err
	}
	newCore, ok := cores[t.Header.Core]
	if !ok {
		return nil, usageProblem(fmt.Sprintf("core is %q", t.Header.Core), "use one of "+strings.Join(coreNames(), ", "))
	}
	c, err := newCore(t.Header)
	if err != nil {
		return nil, err
	}
	return t, t.Run(c)
}

func coreNames() []string {
	var names []string
	for n := range cores {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
