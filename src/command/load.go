package command

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/load"
	"github.com/yuccaport/yuccaport/src/problem"
)

const (
	maxLoadRate     = 100_000 // calls a second
	maxLoadDuration = time.Hour
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send steady load to running proxies and report latencies and outcomes",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "proxy", Usage: "callers' `ADDRESS` of a daemon; may be given several times", Required: true},
			&cli.StringFlag{Name: "host", Usage: "HTTP host name", Required: true},
			&cli.StringFlag{Name: "path", Value: "/"},
			&cli.StringFlag{Name: "method", Value: fasthttp.MethodGet},
			&cli.IntFlag{Name: "body-size", Usage: "bytes of each request's body"},
			&cli.BoolFlag{Name: "keys", Usage: "give each call an idempotency key of its own"},
			&cli.FloatFlag{Name: "rate", Usage: "calls a second in all", Value: 50},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "timeout", Usage: "longest wait for one answer", Value: 30 * time.Second},
			jsonFlag(),
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	l := &load.Load{
		Method: cmd.String("method"), Host: cmd.String("host"), Path: cmd.String("path"), Keys: cmd.Bool("keys"),
		Rate: cmd.Float("rate"), Duration: cmd.Duration("duration"), Timeout: cmd.Duration("timeout"),
	}
	if l.Rate <= 0 || l.Rate > maxLoadRate {
		return usageProblem(fmt.Sprintf("--rate is %g", l.Rate), fmt.Sprintf("give a number above 0, at most %d", maxLoadRate))
	}
	if l.Duration <= 0 || l.Duration > maxLoadDuration {
		return usageProblem(fmt.Sprintf("--duration is %s", l.Duration), fmt.Sprintf("give a time above 0, at most %s", maxLoadDuration))
	}
	if n := cmd.Int("body-size"); n > 0 {
		l.Body = make([]byte, n)
	}
	for _, s := range cmd.StringSlice("proxy") {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return usageProblem(fmt.Sprintf("--proxy is %q", s), "give an IP number and port such as 127.0.0.1:7101")
		}
		l.Proxies = append(l.Proxies, a)
	}
	r := l.Run(ctx)
	var held error
	if r.OK == 0 {
		held = problem.New(problem.Unavailable, "load", fmt.Sprintf("none of %d calls was answered", r.Calls), "see yuccaport status and the addresses given")
	}
	return reportBench(cmd, r, held)
}
