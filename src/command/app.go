package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/problem"
)

// Exit codes of the command line.
const (
	ExitFailed = 1 // what was asked does not hold
	ExitUsage  = 2 // the command line, settings or document cannot be used
)

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, w, errw io.Writer) int {
	app := New(w, errw)
	begun := false
	markBegun(app, &begun)
	err := app.Run(ctx, args)
	if err == nil {
		return 0
	}
	if !begun {
		err = problem.Wrap(problem.Usage, err, "", "command line refused", "see yuccaport help")
	}
	fmt.Fprintln(errw, "yuccaport:", err)
	return exitCode(err)
}

// New returns the command line, which writes results to w and messages to errw.
func New(w, errw io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "yuccaport",
		Usage:     "distribute a service mesh's configuration and carry its callers' requests",
		Writer:    w,
		ErrWriter: errw,
		Commands: []*cli.Command{
			runCommand(), agentCommand(), checkCommand(), applyCommand(), getCommand(), historyCommand(), rollbackCommand(),
			statusCommand(), routeCommand(), drainCommand(), quarantineCommand(), replayCommand(), demoCommand(), standinCommand(),
			benchCommand(), loadCommand(), reportCommand(),
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usageProblem(fmt.Sprintf("no command %q", cmd.Args().First()), "see yuccaport help")
			}
			return cli.ShowRootCommandHelp(cmd)
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// markBegun sets begun when an action starts: an error before that is about the command line.
func markBegun(cmd *cli.Command, begun *bool) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	if action := cmd.Action; action != nil {
		cmd.Action = func(ctx context.Context, cmd *cli.Command) error {
			*begun = true
			return action(ctx, cmd)
		}
	}
	for _, c := range cmd.Commands {
		markBegun(c, begun)
	}
}

func exitCode(err error) int {
	for _, k := range []problem.Kind{problem.Usage, problem.Settings, problem.Document} {
		if errors.Is(err, k) {
			return ExitUsage
		}
	}
	return ExitFailed
}

// usageProblem returns an error about the command line itself.
func usageProblem(what, remedy string) error { return problem.New(problem.Usage, "", what, remedy) }

// oneArg returns the only argument of a command.
func oneArg(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", usageProblem(fmt.Sprintf("%s takes one %s, %d given", cmd.Name, name, cmd.Args().Len()), fmt.Sprintf("see yuccaport %s --help", cmd.Name))
	}
	return cmd.Args().First(), nil
}

// printJSON writes one JSON object as the last line.
func printJSON(cmd *cli.Command, v any) error {
	return json.NewEncoder(cmd.Root().Writer).Encode(v)
}

func printf(cmd *cli.Command, format string, args ...any) {
	fmt.Fprintf(cmd.Root().Writer, format, args...)
}
