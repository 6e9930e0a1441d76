package command

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/daemon"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/logs"
	"github.com/yuccaport/yuccaport/src/problem"
)

const (
	firstWaitPoll = 20 * time.Millisecond
	lastWaitPoll  = time.Second
)

// applied is the last line of apply --json and rollback --json.
type applied struct {
	Service     string   `json:"service"`
	Version     uint64   `json:"version"`
	Unchanged   bool     `json:"unchanged"`
	DryRun      bool     `json:"dry_run"`
	Proxies     int      `json:"proxies"`
	InForce     int      `json:"proxies_in_force"`
	Converged   float64  `json:"convergence_ms"`
	Laggards    []string `json:"laggards"`
	Unreachable int      `json:"unreachable"`
}

func editFlags() []cli.Flag {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "token", Usage: "token of the team that owns the service", Sources: cli.EnvVars("YUCCAPORT_TOKEN")},
		&cli.StringFlag{Name: "note", Usage: "why, kept in the history"},
		&cli.Uint64Flag{Name: "base", Usage: "version that the edit was made from; a newer one is a conflict"},
		&cli.DurationFlag{Name: "deadline", Usage: "longest wait for the store to accept the edit", Value: acceptWithin},
		&cli.BoolFlag{Name: "wait", Usage: "wait until the version is in force on every reachable proxy"},
		&cli.DurationFlag{Name: "wait-timeout", Usage: "longest wait", Value: 30 * time.Second},
		jsonFlag(),
	}
	return append(append(flags, storeFlags()...), adminFlags()...)
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "accept a service's document",
		ArgsUsage: "DOC.toml",
		Flags:     append(editFlags(), &cli.BoolFlag{Name: "dry-run", Usage: "check and show the difference only"}),
		Action:    applyDocument,
	}
}

func applyDocument(ctx context.Context, cmd *cli.Command) error {
	file, err := oneArg(cmd, "document")
	if err != nil {
		return err
	}
	b, err := readFile(file)
	if err != nil {
		return err
	}
	doc, err := document.Parse(file, b)
	if err != nil {
		return err
	}
	e, err := editorOf(cmd)
	if err != nil {
		return err
	}
	edit := ledger.Edit{
		Service: doc.Service, Data: b, File: file, BaseVersion: cmd.Uint64("base"),
		Token: cmd.String("token"), Note: cmd.String("note"), DryRun: cmd.Bool("dry-run"),
	}
	r, err := accept(ctx, cmd, func(ctx context.Context) (ledger.Result, error) { return e.Apply(ctx, edit) })
	if err != nil {
		return err
	}
	if edit.DryRun {
		return reportDryRun(cmd, doc.Service, r)
	}
	return reportApplied(ctx, cmd, doc.Service, r)
}

// editorOf returns an editor that refuses to go below what the daemon asked already serves.
func editorOf(cmd *cli.Command) (*ledger.Editor, error) {
	store, err := storeOf(cmd)
	if err != nil {
		return nil, err
	}
	e := &ledger.Editor{Store: store, Now: time.Now, Log: logs.New(os.Stderr, logs.FormatConsole, 0)}
	if !cmd.IsSet("admin") && !cmd.Bool("wait") {
		return e, nil
	}
	a, err := adminOf(cmd)
	if err != nil {
		return nil, err
	}
	// MinVersion guards against a restored store; without an answer the edit goes on.
	if s, err := a.status("1"); err == nil {
		e.MinVersion = s.Version
	}
	return e, nil
}

func reportDryRun(cmd *cli.Command, service string, r ledger.Result) error {
	if cmd.Bool("json") {
		return printJSON(cmd, applied{Service: service, Version: r.Version, Unchanged: r.Unchanged, DryRun: true, Laggards: []string{}})
	}
	printf(cmd, "%s: would be accepted\n%s", service, r.Diff)
	return nil
}

func reportApplied(ctx context.Context, cmd *cli.Command, service string, r ledger.Result) error {
	out := applied{Service: service, Version: r.Version, Unchanged: r.Unchanged, Laggards: []string{}}
	var err error
	if cmd.Bool("wait") {
		err = waitInForce(ctx, cmd, &out)
	}
	if cmd.Bool("json") {
		if jerr := printJSON(cmd, out); jerr != nil {
			return jerr
		}
		return err
	}
	switch {
	case r.Unchanged:
		printf(cmd, "%s: unchanged, version %d\n", service, r.Version)
	default:
		printf(cmd, "%s: accepted as version %d\n", service, r.Version)
	}
	if cmd.Bool("wait") && err == nil {
		printf(cmd, "in force on %d proxies after %.0f ms\n", out.InForce, out.Converged)
	}
	return err
}

// waitInForce asks the fleet until every reachable proxy serves the version.
func waitInForce(ctx context.Context, cmd *cli.Command, out *applied) error {
	a, err := adminOf(cmd)
	if err != nil {
		return err
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("wait-timeout"))
	defer cancel()
	for poll := firstWaitPoll; ; poll = min(2*poll, lastWaitPoll) {
		s, err := a.status(strconv.FormatUint(out.Version, 10))
		if err == nil && countInForce(s, out) {
			out.Converged = float64(time.Since(start).Microseconds()) / 1e3
			return nil
		}
		select {
		case <-ctx.Done():
			return notInForce(out, err)
		case <-time.After(poll):
		}
	}
}

// countInForce tells whether every reachable daemon serves the version.
func countInForce(s daemon.FleetStatus, out *applied) bool {
	out.Proxies, out.InForce, out.Unreachable, out.Laggards = s.Asked, s.InForce, 0, out.Laggards[:0]
	for _, m := range s.Members {
		if m.Unreachable {
			out.Unreachable++
			continue
		}
		why := fmt.Sprintf("%s in %s at %s serves version %d", m.Service, m.Domain, m.Proxy, m.Version)
		if m.RefusedWhy != "" {
			why += fmt.Sprintf(", refused %d: %s", m.Refused, m.RefusedWhy)
		}
		out.Laggards = append(out.Laggards, why)
	}
	return s.Asked > 0 && len(out.Laggards) == 0
}

func notInForce(out *applied, err error) error {
	if err != nil {
		return err
	}
	return problem.New(problem.Unavailable, fmt.Sprintf("version %d", out.Version),
		fmt.Sprintf("accepted, but not yet in force on %d of %d proxies: %s", len(out.Laggards), out.Proxies, strings.Join(out.Laggards, "; ")),
		"it stays accepted; look at the named proxies by yuccaport status")
}
