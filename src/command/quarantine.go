package command

import (
	"context"
	"fmt"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/quarantine"
)

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name:        "quarantine",
		Usage:       "show the requests that are quarantined since backend servers crashed while they ran them, or release one",
		Description: "--admin takes the admin address of a daemon, or the metrics address of an agent. All daemons know the same requests.",
		Flags: append(adminFlags(), jsonFlag(),
			&cli.StringFlag{Name: "release", Usage: "lift the quarantine of the request with this `CONTENT`, in all daemons"}),
		Action: showQuarantine,
	}
}

func showQuarantine(_ context.Context, cmd *cli.Command) error {
	a, err := adminOf(cmd)
	if err != nil {
		return err
	}
	method, query := fasthttp.MethodGet, url.Values{}
	if content := cmd.String("release"); content != "" {
		method = fasthttp.MethodPost
		query.Set("release", content)
	}
	var entries []quarantine.Entry
	if err := a.ask(method, quarantine.Path, query, &entries); err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd, entries)
	}
	printf(cmd, "%d requests quarantined\n", len(entries))
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 4, 2, ' ', 0)
	for _, e := range entries {
		for _, crash := range e.Crashes {
			fmt.Fprintf(w, "%s\tcrashed %s\tat %s\n", e.Content, crash.Instance, crash.Time.Format(time.RFC3339))
		}
	}
	return w.Flush()
}
