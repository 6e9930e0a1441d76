package agent

import (
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/tenants"
)

// servingState holds the configuration and routing table in force. It is immutable.
type servingState struct {
	config   *Config
	snapshot *ledger.Snapshot
	table    *dispatch.Table
}

// table returns the routing table in force, nil before the first configuration.
func (a *Agent) table() *dispatch.Table {
	if s := a.serving.Load(); s != nil {
		return s.table
	}
	return nil
}

// serviceDocument returns the document of the agent's own service, nil if there is none.
func (a *Agent) serviceDocument() *document.Document {
	if s := a.serving.Load(); s != nil {
		return s.snapshot.Documents[a.Settings.Service]
	}
	return nil
}

// limits returns the limits of callers' requests, zero before the first configuration.
func (a *Agent) limits() dispatch.Limits {
	if s := a.serving.Load(); s != nil {
		return s.config.Limits
	}
	return dispatch.Limits{}
}

// applyConfig puts a configuration in force unless it is invalid or its version is lower than that of the one in force.
func (a *Agent) applyConfig(value []byte) {
	c, err := a.DecodeConfig(value)
	if err != nil {
		a.Log.Error(err, "configuration rejected")
		a.follower.RejectConfig(value)
		return
	}
	a.tableMu.Lock()
	defer a.tableMu.Unlock()
	currentVersion := uint64(0)
	if current := a.serving.Load(); current != nil {
		currentVersion = current.config.Version
	}
	if c.Version < currentVersion {
		a.Log.Info("configuration rejected", "reason", "older than the one in force", "version", c.Version, "in_force", currentVersion)
		return
	}
	s := c.snapshot()
	t, err := dispatch.NewTable(s, a.memberView)
	if err != nil {
		a.Log.Error(err, "configuration rejected", "version", c.Version, "in_force", currentVersion)
		a.follower.RejectConfig(value)
		return
	}
	t.Tenants, err = tenants.NewDirectory(c.Tenants)
	if err != nil {
		a.Log.Error(err, "configuration rejected", "version", c.Version, "in_force", currentVersion)
		a.follower.RejectConfig(value)
		return
	}
	routes, tenantCount := len(c.Routes), len(c.Tenants)
	c.Routes, c.Tenants = nil, nil // the snapshot and the directory hold them
	a.quota.Configure(c.Version, tenantLimits(t.Tenants))
	a.serving.Store(&servingState{config: c, snapshot: s, table: t})
	a.booking.ConfigureBackend(c.Connections[a.Settings.Service], c.HealthPaths[a.Settings.Service])
	a.wakeBackendCheck()
	a.Log.Info("version in force", "version", c.Version, "before", currentVersion, "routes", routes, "tenants", tenantCount)
}

// updateMembers rebuilds the routing table for a changed set of members.
func (a *Agent) updateMembers() {
	a.tableMu.Lock()
	defer a.tableMu.Unlock()
	a.memberView = roster.NewView(0, a.follower.Members())
	a.Log.Info("members changed", "count", len(a.memberView.Members))
	s := a.serving.Load()
	if s == nil {
		return
	}
	a.serving.Store(&servingState{config: s.config, snapshot: s.snapshot, table: s.table.WithMembers(a.memberView)})
}

// tenantLimits returns the limits of a directory's tenants.
func tenantLimits(d *tenants.Directory) map[string]tenants.Limit {
	limits := map[string]tenants.Limit{}
	for _, t := range d.Tenants() {
		limits[t.Name] = tenants.Limit{RatePerSecond: t.RatePerSec, Burst: t.Burst}
	}
	return limits
}
