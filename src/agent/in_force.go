package agent

import (
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/roster"
)

// inForce is the state that the agent serves from; it is never changed.
type inForce struct {
	config   *Config
	snapshot *ledger.Snapshot
	table    *dispatch.Table
}

func (a *Agent) table() *dispatch.Table {
	if f := a.inForce.Load(); f != nil {
		return f.table
	}
	return nil
}

func (a *Agent) document() *document.Document {
	if f := a.inForce.Load(); f != nil {
		return f.snapshot.Documents[a.Settings.Service]
	}
	return nil
}

func (a *Agent) limits() dispatch.Limits {
	if f := a.inForce.Load(); f != nil {
		return f.config.Limits
	}
	return dispatch.Limits{}
}

// takeConfig puts a configuration in force unless it is older than the one in force or cannot be used.
func (a *Agent) takeConfig(value []byte) {
	c, err := a.DecodeConfig(value)
	if err != nil {
		a.Log.Error(err, "configuration not taken")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	before := uint64(0)
	if f := a.inForce.Load(); f != nil {
		before = f.config.Version
	}
	if c.Version < before {
		a.Log.Info("configuration not taken", "reason", "older than the one in force", "version", c.Version, "in_force", before)
		return
	}
	s := c.snapshot()
	t, err := dispatch.NewTable(s, a.members)
	if err != nil {
		a.Log.Error(err, "configuration not taken", "version", c.Version, "in_force", before)
		return
	}
	routes := len(c.Routes)
	c.Routes = nil // the snapshot holds them
	a.inForce.Store(&inForce{config: c, snapshot: s, table: t})
	a.booking.ConfigureBackend(c.Connections[a.Settings.Service], c.HealthPaths[a.Settings.Service])
	select {
	case a.wake <- struct{}{}:
	default:
	}
	a.Log.Info("version in force", "version", c.Version, "before", before, "routes", routes)
}

// takeMembers makes the table anew for a changed set of members.
func (a *Agent) takeMembers() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members = roster.NewView(0, a.follower.Members())
	a.Log.Info("members changed", "count", len(a.members.Members))
	f := a.inForce.Load()
	if f == nil {
		return
	}
	a.inForce.Store(&inForce{config: f.config, snapshot: f.snapshot, table: f.table.WithMembers(a.members)})
}
