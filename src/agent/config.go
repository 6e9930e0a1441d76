package agent

import (
	"time"

	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/tenants"
)

const (
	maxQueuedCalls     = 256             // calls queued for one backend server; the latency objectives of their routes usually limit the queue sooner
	maxQueueWait       = 5 * time.Second // longest time that a call may queue, whatever its route's latency objective
	hostDocumentPrefix = "host "         // prefix of the name of the document with a host's routes
)

// Config is the operator's configuration, as decoded by Agent.DecodeConfig. The agent keeps and modifies it.
type Config struct {
	Version     uint64 // a configuration with a lower version than the one in force is rejected; an equal one replaces it
	Routes      []Route
	Limits      dispatch.Limits   // of callers' requests and connections
	Connections map[string]int    // maximum connections to one backend server, by service; must have an entry for each service that a route points at; 0 keeps the current maximum
	Tenants     []tenants.Tenant  // empty to admit callers without a key; the agent keeps no key in force in clear
	HealthPaths map[string]string // path of the health endpoint, by service; if missing or empty, the current path stays
}

// Route is a route for the requests to Host.
type Route struct {
	Host  string
	Route document.Route
}

// snapshot converts the configuration to one document per service and one per host.
func (c *Config) snapshot() *ledger.Snapshot {
	s := &ledger.Snapshot{Version: c.Version, Documents: map[string]*document.Document{}}
	for name := range c.Connections {
		s.Documents[name] = &document.Document{
			Service: name, Limits: document.Limits{Queue: maxQueuedCalls, QueueWait: document.Duration(maxQueueWait)},
		}
	}
	for _, r := range c.Routes {
		d := s.Documents[hostDocumentPrefix+r.Host]
		if d == nil {
			d = &document.Document{Service: hostDocumentPrefix + r.Host, Hosts: []string{r.Host}}
			s.Documents[hostDocumentPrefix+r.Host] = d
		}
		d.Routes = append(d.Routes, r.Route)
	}
	return s
}
