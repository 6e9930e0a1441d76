package command

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/daemon"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the fleet: versions in force, laggards, readers, store health",
		Flags: append(adminFlags(), jsonFlag(),
			&cli.StringFlag{Name: "service", Usage: "one service only"},
			&cli.IntFlag{Name: "min-ready", Usage: "fail unless at least `N` daemons are ready and know each other"}),
		Action: showStatus,
	}
}

func showStatus(_ context.Context, cmd *cli.Command) error {
	a, err := adminOf(cmd)
	if err != nil {
		return err
	}
	s, err := a.status("")
	if err != nil {
		return err
	}
	s.Members = ofService(s.Members, cmd.String("service"))
	if cmd.Bool("json") {
		err = printJSON(cmd, s)
	} else {
		printStatus(cmd, s)
	}
	if err != nil {
		return err
	}
	return enoughReady(s.Members, cmd.Int("min-ready"))
}

// enoughReady returns an error when fewer than n members are ready and know n members.
func enoughReady(members []wire.MemberStatus, n int) error {
	ready := 0
	for _, m := range members {
		if m.Ready && m.MemberCount >= n {
			ready++
		}
	}
	if ready >= n {
		return nil
	}
	return problem.New(problem.Unavailable, "status", fmt.Sprintf("%d of %d daemons are ready and know each other", ready, n), "ask again, or see why in their state")
}

func ofService(members []wire.MemberStatus, service string) []wire.MemberStatus {
	members = slices.DeleteFunc(members, func(m wire.MemberStatus) bool { return service != "" && m.Service != service })
	slices.SortFunc(members, func(a, b wire.MemberStatus) int {
		if a.Service != b.Service {
			return strings.Compare(a.Service, b.Service)
		}
		return strings.Compare(a.Domain+a.Proxy.String(), b.Domain+b.Proxy.String())
	})
	return members
}

func printStatus(cmd *cli.Command, s daemon.FleetStatus) {
	var newest uint64
	for _, m := range s.Members {
		newest = max(newest, m.Version)
	}
	printf(cmd, "version %d, %d daemons, store %s\n", newest, s.Asked, upOrDown(s.StoreDown))
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tDOMAIN\tPROXY\tVERSION\tIN FLIGHT\tMEMBERS\tSTATE")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", m.Service, m.Domain, m.Proxy, m.Version, m.InFlight, m.MemberCount, stateOf(m, newest))
	}
	_ = w.Flush()
}

// stateOf names what an operator should notice about a member.
func stateOf(m wire.MemberStatus, newest uint64) string {
	var notes []string
	add := func(on bool, note string) {
		if on {
			notes = append(notes, note)
		}
	}
	add(m.Unreachable, "unreachable")
	add(!m.Unreachable && m.Leaving, "leaving")
	add(!m.Unreachable && !m.Leaving && !m.Ready, "not ready")
	add(m.Ready && !m.Leaving, "ready")
	add(!m.Unreachable && m.Version < newest, "behind")
	add(m.RefusedWhy != "", fmt.Sprintf("refused %d: %s", m.Refused, m.RefusedWhy))
	add(m.Reader, "reader")
	add(m.StoreDown, "store down")
	return strings.Join(notes, ", ")
}

func upOrDown(down bool) string {
	if down {
		return "down"
	}
	return "up"
}

func routeCommand() *cli.Command {
	return &cli.Command{
		Name:  "route",
		Usage: "explain which backend server a daemon would choose now, and why",
		Flags: append(adminFlags(), jsonFlag(),
			&cli.StringFlag{Name: "host", Usage: "HTTP host name", Required: true},
			&cli.StringFlag{Name: "path", Usage: "HTTP path", Value: "/"},
			&cli.StringFlag{Name: "method", Usage: "HTTP method", Value: fasthttp.MethodGet}),
		Action: func(_ context.Context, cmd *cli.Command) error {
			a, err := adminOf(cmd)
			if err != nil {
				return err
			}
			q := url.Values{"host": {cmd.String("host")}, "path": {cmd.String("path")}, "method": {cmd.String("method")}}
			var x dispatch.Explanation
			if err := a.ask(fasthttp.MethodGet, "/route", q, &x); err != nil {
				return err
			}
			if cmd.Bool("json") {
				return printJSON(cmd, x)
			}
			return printExplanation(cmd, x)
		},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "take the backend server beside a daemon out of service",
		Flags: append(adminFlags(), jsonFlag()),
		Action: func(_ context.Context, cmd *cli.Command) error {
			a, err := adminOf(cmd)
			if err != nil {
				return err
			}
			var m wire.MemberStatus
			if err := a.ask(fasthttp.MethodPost, "/drain", nil, &m); err != nil {
				return err
			}
			if cmd.Bool("json") {
				return printJSON(cmd, m)
			}
			printf(cmd, "%s at %s takes no new work, %d requests in flight\n", m.Service, m.Proxy, m.InFlight)
			return nil
		},
	}
}
