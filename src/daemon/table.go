package daemon

import (
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/roster"
)

// ActiveState is what a daemon serves from, swapped as one pointer.
type ActiveState struct {
	Snapshot *ledger.Snapshot
	View     *roster.View
	Table    *dispatch.Table // made from Snapshot and View
}

// ActiveState returns what the daemon serves from now, nil before the first configuration.
func (d *Daemon) ActiveState() *ActiveState { return d.inForce.Load() }

// table returns the routing table in force, nil before the first.
func (d *Daemon) table() *dispatch.Table {
	if f := d.inForce.Load(); f != nil {
		return f.Table
	}
	return nil
}

// Version returns the configuration version in force, 0 before the first.
func (d *Daemon) Version() uint64 {
	if f := d.inForce.Load(); f != nil {
		return f.Snapshot.Version
	}
	return 0
}

// document returns the document in force of the service beside this daemon, or nil.
func (d *Daemon) document() *document.Document {
	if f := d.inForce.Load(); f != nil {
		return f.Snapshot.Documents[d.Settings.Service]
	}
	return nil
}

// takeSnapshot puts a snapshot into force, or refuses it whole and keeps the one before.
func (d *Daemon) takeSnapshot(s *ledger.Snapshot) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.snapshot != nil && s.Version < d.snapshot.Version {
		return problem.New(problem.Backward, "snapshot", "its version is below the one in force", "restore the head of the store from a newer backup")
	}
	if err := d.swap(s, d.view); err != nil {
		return err
	}
	d.snapshot = s
	return nil
}

// takeView puts a roster view into force with the snapshot that is held.
func (d *Daemon) takeView(v *roster.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = v
	d.deposits.SetHolderCount(len(v.Members))
	if d.snapshot == nil {
		return
	}
	if err := d.swap(d.snapshot, v); err != nil {
		d.Log.Error(err, "roster view not taken", "version", d.snapshot.Version)
	}
}

func (d *Daemon) swap(s *ledger.Snapshot, v *roster.View) error {
	t, err := dispatch.NewTable(s, v)
	if err != nil {
		return err
	}
	before := d.Version()
	f := &ActiveState{Snapshot: s, View: v, Table: t}
	d.inForce.Store(f)
	if before != t.Version {
		d.Log.Info("version in force", "version", t.Version, "before", before)
	}
	if d.OnStateChange != nil {
		d.OnStateChange(f)
	}
	return nil
}
