package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/ledger"
)

func rollbackCommand() *cli.Command {
	return &cli.Command{
		Name:      "rollback",
		Usage:     "accept a service's older document again, as a new version",
		ArgsUsage: "SERVICE",
		Flags:     append(editFlags(), &cli.Uint64Flag{Name: "to", Usage: "version whose document is taken", Required: true}),
		Action:    rollback,
	}
}

func rollback(ctx context.Context, cmd *cli.Command) error {
	service, err := oneArg(cmd, "service")
	if err != nil {
		return err
	}
	e, err := editorOf(cmd)
	if err != nil {
		return err
	}
	edit := ledger.Edit{Service: service, BaseVersion: cmd.Uint64("base"), Token: cmd.String("token"), Note: cmd.String("note")}
	r, err := accept(ctx, cmd, func(ctx context.Context) (ledger.Result, error) { return e.Rollback(ctx, edit, cmd.Uint64("to")) })
	if err != nil {
		return err
	}
	return reportApplied(ctx, cmd, service, r)
}
