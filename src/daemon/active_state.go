package daemon

import (
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/roster"
)

// ActiveState is the configuration and the roster view that a daemon serves from. A new state replaces it with one pointer swap.
type ActiveState struct {
	Snapshot *ledger.Snapshot
	View     *roster.View
	Table    *dispatch.Table // built from Snapshot and View
}

// ActiveState returns the state that the daemon serves from, nil before the first configuration.
func (d *Daemon) ActiveState() *ActiveState { return d.activeState.Load() }

// currentTable returns the routing table in force, nil before the first configuration.
func (d *Daemon) currentTable() *dispatch.Table {
	if s := d.activeState.Load(); s != nil {
		return s.Table
	}
	return nil
}

// Version returns the configuration version in force, 0 before the first.
func (d *Daemon) Version() uint64 {
	if s := d.activeState.Load(); s != nil {
		return s.Snapshot.Version
	}
	return 0
}

// currentDocument returns the document in force of this daemon's service, nil for none.
func (d *Daemon) currentDocument() *document.Document {
	if s := d.activeState.Load(); s != nil {
		return s.Snapshot.Documents[d.Settings.Service]
	}
	return nil
}

// applySnapshot puts a snapshot in force with the newest view. On an error the previous state stays in force. The error is of kind problem.Backward if the snapshot is older than the one in force, otherwise that of dispatch.NewTable.
func (d *Daemon) applySnapshot(s *ledger.Snapshot) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.snapshot != nil && s.Version < d.snapshot.Version {
		return problem.New(problem.Backward, "snapshot", "its version is below the one in force", "restore the head of the store from a newer backup")
	}
	if err := d.activate(s, d.view); err != nil {
		return err
	}
	d.snapshot = s
	return nil
}

// applyView puts a roster view in force with the newest snapshot, if there is one, and sets the number of daemons that share the store's write rate.
func (d *Daemon) applyView(v *roster.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = v
	d.deposits.SetHolderCount(len(v.Members))
	if d.snapshot == nil {
		return
	}
	if err := d.activate(d.snapshot, v); err != nil {
		d.Log.Error(err, "roster view not put in force", "version", d.snapshot.Version)
	}
}

// activate builds the state of a snapshot and a view and puts it in force; d.mu must be held.
func (d *Daemon) activate(s *ledger.Snapshot, v *roster.View) error {
	t, err := dispatch.NewTable(s, v)
	if err != nil {
		return err
	}
	previous := d.Version()
	state := &ActiveState{Snapshot: s, View: v, Table: t}
	d.activeState.Store(state)
	if previous != t.Version {
		d.Log.Info("version in force", "version", t.Version, "before", previous)
	}
	if d.OnStateChange != nil {
		d.OnStateChange(state)
	}
	return nil
}
