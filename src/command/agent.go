package command

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/platform"
	"github.com/yuccaport/yuccaport/src/agent"
	"github.com/yuccaport/yuccaport/src/logs"
)

// gcPercent keeps the heap close to what is live: memory is dearer than processor time beside a backend server.
const gcPercent = 40

// memoryPart is the share of the process's memory, one in so many, beyond which its heap is collected more often; stacks, the program and unread bytes need the rest.
const memoryPart = 2

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "run beside one backend server of the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`", Required: true, Sources: cli.EnvVars("YUCCAPORT_NODE_FILE")},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and stop"},
		},
		Action: runAgent,
	}
}

func runAgent(ctx context.Context, cmd *cli.Command) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first, since a signal without a handler ends the process and resets its connections
	defer signal.Stop(hup)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	file := cmd.String("config")
	s, err := agent.LoadSettings(file)
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		printf(cmd, "%s: settings are usable\n", file)
		return nil
	}
	out := &logs.Bounded{W: os.Stdout}
	defer func() { _ = out.Sync() }()
	log := logs.New(out, logs.FormatJSON, 0).WithValues("agent", s.Name)
	a, err := openAgent(s, log)
	if err != nil {
		return err
	}
	a.SettingsFile, a.Reload = file, hup
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 / memoryPart)
	a.Build()
	log.Info("agent started", "member", a.ID(), "callers", s.Listen.Callers.String(), "service", s.Service, "domain", s.Domain)
	err = a.Run(ctx)
	log.Info("agent stopped")
	return err
}

// openAgent opens the listeners that settings name.
func openAgent(s agent.Settings, log logr.Logger) (*agent.Agent, error) {
	a := &agent.Agent{
		Settings: s, Store: &platform.Store{Addr: s.Store.Addr, Log: log.WithName("store")}, Keys: platform.Keys, Rollouts: &agent.RolloutFormat{StatusPrefix: platform.RolloutStatusPrefix, DecodeOrder: platform.DecodeRolloutOrder, EncodeStatus: platform.EncodeRolloutStatus}, Headers: platform.Headers, DecodeConfig: platform.DecodeConfig, ConfigVersion: platform.ConfigVersion, Log: log,
	}
	a.ReadyHandler = platform.NewReadyHandler(a.IsReady)
	a.HeartbeatHandler = platform.NewHeartbeatHandler(a)
	for _, l := range []struct {
		key  string
		addr string
		to   *net.Listener
	}{
		{"listen.callers", s.Listen.Callers.String(), &a.CallerListener},
		{"listen.links", s.Listen.Links.String(), &a.LinkListener},
		{"listen.ready", s.Listen.Ready.String(), &a.ReadyListener},
		{"listen.heartbeats", s.Listen.Heartbeats.String(), &a.HeartbeatListener},
		{"listen.metrics", s.Listen.Metrics.String(), &a.MetricsListener},
	} {
		var err error
		if *l.to, err = listen(l.key, l.addr); err != nil {
			return nil, err
		}
	}
	return a, nil
}
