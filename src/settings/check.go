package settings

import (
	"fmt"
	"net/netip"

	"github.com/yuccaport/yuccaport/src/logs"
	"github.com/yuccaport/yuccaport/src/problem"
)

const maxSlots = 10000 // requests at once that one backend server can be set to run

// Check returns an error of kind problem.Settings for the first value that a daemon cannot run with.
func Check(file string, s *Settings) error {
	for _, f := range []func(string, *Settings) error{
		checkNames, checkProfile, checkListen, checkBackend, checkStore, checkKeys, checkLog,
	} {
		if err := f(file, s); err != nil {
			return err
		}
	}
	return nil
}

func refuse(file, key string, value any, remedy string) error {
	return problem.New(problem.Settings, file, fmt.Sprintf("%s is %q", key, fmt.Sprint(value)), remedy)
}

func checkNames(file string, s *Settings) error {
	names := []struct{ key, value string }{{"service", s.Service}, {"domain", s.Domain}, {"region", s.Region}}
	for _, n := range names {
		if n.value == "" {
			return refuse(file, n.key, n.value, "name it, as in examples/")
		}
	}
	return nil
}

func checkProfile(file string, s *Settings) error {
	if s.Profile == ProfileFast || s.Profile == ProfileThrifty {
		return nil
	}
	return refuse(file, "profile", s.Profile, "set it to fast or thrifty")
}

func checkListen(file string, s *Settings) error {
	addrs := []struct {
		key  string
		addr netip.AddrPort
	}{{"listen.proxy", s.Listen.Proxy}, {"listen.control", s.Listen.Control}, {"listen.admin", s.Listen.Admin}}
	for _, a := range addrs {
		if !a.addr.IsValid() {
			return refuse(file, a.key, a.addr, "set it to an IP number and port such as 127.0.0.1:7100")
		}
	}
	if s.Listen.Control.Addr().IsUnspecified() {
		return refuse(file, "listen.control", s.Listen.Control, "name the IP number that other daemons reach, not the unspecified one")
	}
	if !s.Listen.Admin.Addr().IsLoopback() && s.Listen.AdminToken == "" {
		return refuse(file, "listen.admin", s.Listen.Admin, "use a loopback address or set listen.admin_token")
	}
	return nil
}

func checkBackend(file string, s *Settings) error {
	b := s.Backend
	switch {
	case !b.Addr.IsValid():
		return refuse(file, "backend.addr", b.Addr, "set it to the backend server's IP number and port")
	case b.Slots < 1 || b.Slots > maxSlots:
		return refuse(file, "backend.slots", b.Slots, fmt.Sprintf("set it to 1 to %d", maxSlots))
	case b.Connections < b.Slots:
		return refuse(file, "backend.connections", b.Connections, "set it to at least backend.slots")
	case b.HealthPath == "" || b.HealthPath[0] != '/':
		return refuse(file, "backend.health_path", b.HealthPath, "start it with a slash")
	}
	return nil
}

func checkStore(file string, s *Settings) error {
	if !s.Store.Addr.IsValid() {
		return refuse(file, "store.addr", s.Store.Addr, "set it to the IP number and port of the platform's key-value service")
	}
	if s.Store.Timeout <= 0 {
		return refuse(file, "store.timeout", s.Store.Timeout.Std(), "set it to a time above zero, such as 2s")
	}
	return nil
}

func checkKeys(file string, s *Settings) error {
	k := s.Keys
	if k == (Keys{}) {
		if s.Listen.Control.Addr().IsLoopback() || s.Insecure {
			return nil
		}
		return refuse(file, "listen.control", s.Listen.Control, "set [keys], or insecure = true to run links without TLS")
	}
	if k.Cert == "" || k.Key == "" || k.CA == "" {
		return refuse(file, "keys", k, "set keys.cert, keys.key and keys.ca together")
	}
	return nil
}

func checkLog(file string, s *Settings) error {
	if f := logs.Format(s.Log.Format); f == logs.FormatJSON || f == logs.FormatConsole {
		return nil
	}
	return refuse(file, "log.format", s.Log.Format, "set it to json or console")
}
