package agent

import (
	"time"

	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/ledger"
)

const (
	queueCalls = 256             // calls that wait beside one backend server; their objectives bound it sooner
	queueWait  = 5 * time.Second // no call waits for longer, whatever its objective
	hostOwner  = "host "         // begins the name of the document that holds a host's routes
)

// Config is a configuration as the operator of the platform writes it.
type Config struct {
	Version     uint64
	Routes      []Route
	Limits      dispatch.Limits
	Connections map[string]int    // that a backend server takes, by service
	HealthPaths map[string]string // by service
}

// Route is a route of one host.
type Route struct {
	Host  string
	Route document.Route
}

// snapshot returns the configuration as one document for each service and each host.
func (c *Config) snapshot() *ledger.Snapshot {
	s := &ledger.Snapshot{Version: c.Version, Documents: map[string]*document.Document{}}
	for name := range c.Connections {
		s.Documents[name] = &document.Document{
			Service: name, Limits: document.Limits{Queue: queueCalls, QueueWait: document.Duration(queueWait)},
		}
	}
	for _, r := range c.Routes {
		d := s.Documents[hostOwner+r.Host]
		if d == nil {
			d = &document.Document{Service: hostOwner + r.Host, Hosts: []string{r.Host}}
			s.Documents[hostOwner+r.Host] = d
		}
		d.Routes = append(d.Routes, r.Route)
	}
	return s
}
