package command

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/kv"
)

const (
	defaultStore   = "127.0.0.1:7400"
	defaultAdmin   = "127.0.0.1:7301"
	defaultPrefix  = "yuccaport/"
	defaultTimeout = 2 * time.Second
)

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print one JSON object as the last line"}
}

func storeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "store", Usage: "IP number and port of the platform's key-value service", Value: defaultStore, Sources: cli.EnvVars("YUCCAPORT_STORE")},
		&cli.StringFlag{Name: "prefix", Usage: "put before every key in the store", Value: defaultPrefix, Sources: cli.EnvVars("YUCCAPORT_PREFIX")},
	}
}

func adminFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "admin", Usage: "admin address of any daemon", Value: defaultAdmin, Sources: cli.EnvVars("YUCCAPORT_ADMIN")},
		&cli.StringFlag{Name: "admin-token", Usage: "token of the admin endpoints", Sources: cli.EnvVars("YUCCAPORT_ADMIN_TOKEN")},
	}
}

// addrFlag returns the address that a flag holds.
func addrFlag(cmd *cli.Command, name string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(cmd.String(name))
	if err != nil {
		return a, usageProblem(fmt.Sprintf("--%s is %q", name, cmd.String(name)), "give an IP number and port such as 127.0.0.1:7400")
	}
	return a, nil
}

// storeOf returns the store that the flags name.
func storeOf(cmd *cli.Command) (kv.Store, error) {
	a, err := addrFlag(cmd, "store")
	if err != nil {
		return nil, err
	}
	return &kv.Remote{Addr: a, Prefix: cmd.String("prefix"), Timeout: defaultTimeout}, nil
}
