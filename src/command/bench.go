package command

import (
	"context"

	"github.com/urfave/cli/v3"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:     "bench",
		Usage:    "measure real daemons against stand-ins on loopback",
		Commands: []*cli.Command{distributeCommand(), benchRouteCommand()},
		Action: func(context.Context, *cli.Command) error {
			return usageProblem("bench takes distribute or route, neither given", "see yuccaport bench --help")
		},
	}
}
