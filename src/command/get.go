package command

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
)

func getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print a service's accepted document",
		ArgsUsage: "SERVICE",
		Flags:     append(storeFlags(), &cli.Uint64Flag{Name: "version", Usage: "as of this version, 0 for the newest"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			service, err := oneArg(cmd, "service")
			if err != nil {
				return err
			}
			e, err := editorOf(cmd)
			if err != nil {
				return err
			}
			b, _, err := e.Get(ctx, service, cmd.Uint64("version"))
			if err != nil {
				return err
			}
			printf(cmd, "%s", b)
			return nil
		},
	}
}

// change is one line of history --json.
type change struct {
	Version uint64    `json:"version"`
	Service string    `json:"service"`
	EditID  string    `json:"edit_id"`
	Digest  string    `json:"digest"`
	At      time.Time `json:"at"`
	Note    string    `json:"note"`
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "list a service's accepted edits",
		ArgsUsage: "SERVICE",
		Flags:     append(storeFlags(), jsonFlag()),
		Action:    showHistory,
	}
}

func showHistory(ctx context.Context, cmd *cli.Command) error {
	service, err := oneArg(cmd, "service")
	if err != nil {
		return err
	}
	e, err := editorOf(cmd)
	if err != nil {
		return err
	}
	changes, err := e.History(ctx, service)
	if err != nil {
		return err
	}
	out := []change{}
	for _, c := range changes {
		out = append(out, change{Version: c.Version, Service: c.Service, EditID: c.EditID, Digest: c.Digest, At: time.UnixMilli(c.At).UTC(), Note: c.Note})
	}
	if cmd.Bool("json") {
		return printJSON(cmd, map[string]any{"changes": out})
	}
	for _, c := range out {
		printf(cmd, "%8d  %s  %-20s %s\n", c.Version, c.At.Format(time.RFC3339), c.EditID, c.Note)
	}
	return nil
}
