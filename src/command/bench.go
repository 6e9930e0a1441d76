package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:     "bench",
		Usage:    "measure real daemons against stand-ins on loopback",
		Commands: []*cli.Command{distributeCommand(), benchRouteCommand(), benchCapacityCommand()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return usageProblem(fmt.Sprintf("bench %q is not one", cmd.Args().First()), "use distribute, route or capacity")
		},
	}
}

// reportBench prints a report as a table, with --json also as one object on the last line, and returns held.
func reportBench(cmd *cli.Command, report any, held error) error {
	if err := printFields(cmd, report); err != nil {
		return err
	}
	if cmd.Bool("json") {
		if err := printJSON(cmd, report); err != nil {
			return err
		}
	}
	return held
}

func splitList(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' || r == ' ' })
}
