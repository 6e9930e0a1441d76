package command

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/daemon"
	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/logs"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/settings"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run the daemon beside one backend server",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE`", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and stop"},
			&cli.StringFlag{Name: "record", Usage: "write the events of the decision cores to files that start with `FILE`"},
			&cli.Int64Flag{Name: "record-bytes", Usage: "largest size of one recording", Value: 64 << 20},
		},
		Action: runDaemon,
	}
}

func runDaemon(ctx context.Context, cmd *cli.Command) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT) // first, since a signal without a handler ends the process and resets its connections
	s, err := settings.Load(cmd.String("config"))
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		printf(cmd, "%s: settings are usable\n", cmd.String("config"))
		return nil
	}
	log := logs.New(os.Stderr, logs.Format(s.Log.Format), s.Log.Verbosity)
	d, err := openDaemon(s, log)
	if err != nil {
		return err
	}
	rec := &recording{prefix: cmd.String("record"), maxBytes: cmd.Int64("record-bytes")}
	defer rec.close()
	if rec.prefix != "" {
		d.NewRecorder = rec.open
	}
	ctx, stop := planStop(ctx, signals, d, log)
	defer stop()
	log.Info("daemon started", "proxy", d.ProxyListener.Addr().String(), "control", d.ControlListener.Addr().String(), "admin", d.AdminListener.Addr().String(), "service", s.Service, "domain", s.Domain)
	return d.Run(ctx)
}

// openDaemon opens the listeners that settings name.
func openDaemon(s settings.Settings, log logr.Logger) (*daemon.Daemon, error) {
	d := &daemon.Daemon{Settings: s, Log: log, Store: &kv.Remote{Addr: s.Store.Addr, Prefix: s.Store.Prefix, Timeout: s.Store.Timeout.Std()}}
	var err error
	if d.ProxyListener, err = listen("listen.proxy", s.Listen.Proxy.String()); err != nil {
		return nil, err
	}
	if d.ControlListener, err = listen("listen.control", s.Listen.Control.String()); err != nil {
		return nil, err
	}
	if d.AdminListener, err = listen("listen.admin", s.Listen.Admin.String()); err != nil {
		return nil, err
	}
	// The probes use the number of the control listener, also when it was left to the system.
	d.ProbeConn, err = net.ListenPacket("udp", d.ControlListener.Addr().String())
	if err != nil {
		return nil, cannotListen("listen.control", d.ControlListener.Addr().String(), err)
	}
	return d, nil
}

func listen(key, addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, cannotListen(key, addr, err)
	}
	return l, nil
}

func cannotListen(key, addr string, err error) error {
	return problem.Wrap(problem.Settings, err, key, fmt.Sprintf("cannot listen on %s", addr), "free the port or set another")
}

// planStop ends the context at the first signal; the second one ends the process and says what it cuts.
func planStop(ctx context.Context, signals <-chan os.Signal, d *daemon.Daemon, log logr.Logger) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		s := <-signals
		log.Info("planned stop", "reason", s.String())
		cancel()
		s = <-signals
		log.Info("stopped at once", "reason", "second "+s.String(), "cut", d.Status().InFlight)
		d.Kill()
		os.Exit(ExitFailed)
	}()
	return ctx, cancel
}
