package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/logs"
	"github.com/yuccaport/yuccaport/src/standin"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for an outside system, for trials and tests only",
		Commands: []*cli.Command{
			{
				Name:   "store",
				Usage:  "stand-in for the platform's key-value service; keeps everything in memory",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "listen", Value: defaultStore, Usage: "IP number and port"}},
				Action: standinStore,
			},
			{
				Name:  "backend",
				Usage: "stand-in for a backend server",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7001", Usage: "IP number and port"},
					&cli.StringFlag{Name: "name", Value: "backend-1", Usage: "name that its answers carry"},
					&cli.StringFlag{Name: "service", Value: "bookings", Usage: "service that it belongs to"},
					&cli.IntFlag{Name: "slots", Value: 12, Usage: "requests that it runs at once"},
					&cli.IntFlag{Name: "connections", Value: 120, Usage: "connections that it takes"},
					&cli.DurationFlag{Name: "work", Value: 5 * time.Millisecond, Usage: "time that a request takes"},
					&cli.DurationFlag{Name: "connect-cost", Value: time.Millisecond, Usage: "time that a new connection takes"},
					&cli.StringFlag{Name: "crash-path", Usage: "path of requests under which it crashes"},
					&cli.DurationFlag{Name: "downtime", Value: 2 * time.Second, Usage: "time until it is back after a crash"},
					&cli.DurationFlag{Name: "cold-start", Usage: "time after the start in which requests take longer"},
				},
				Action: standinBackend,
			},
		},
	}
}

func standinStore(ctx context.Context, cmd *cli.Command) error {
	l, err := listen("--listen", cmd.String("listen"))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := logs.New(os.Stderr, logs.FormatConsole, 0)
	log.Info("store stand-in started", "listen", l.Addr().String())
	s := &standin.StoreServer{
		Listener: l, Log: log,
		Keyspace: &standin.Keyspace{ReadsPerSecond: standin.DefaultReadsPerSecond, WritesPerSecond: standin.DefaultWritesPerSecond},
	}
	return s.Run(ctx)
}

func standinBackend(ctx context.Context, cmd *cli.Command) error {
	l, err := listen("--listen", cmd.String("listen"))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logs.New(os.Stderr, logs.FormatConsole, 0).Info("backend stand-in started", "listen", l.Addr().String(), "service", cmd.String("service"))
	b := &standin.Backend{
		Listener: l, Name: cmd.String("name"), Service: cmd.String("service"), Slots: cmd.Int("slots"), Connections: cmd.Int("connections"),
		Work: cmd.Duration("work"), ConnectCost: cmd.Duration("connect-cost"), ColdStart: cmd.Duration("cold-start"),
		CrashPath: cmd.String("crash-path"), Downtime: cmd.Duration("downtime"), Runs: &standin.RunLog{},
	}
	return b.Run(ctx)
}
