package rollout

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/registry"
)

const (
	restoreDelay = 300 * time.Millisecond // longest pause before a record is written again, so that one agent of several does it
	restoreTime  = time.Minute            // after which an agent gives up writing a record again
)

// records is what the store holds of a service's rollout.
type records struct {
	plan, status registry.Item
}

// planKey and statusKey return the keys of a service's record and status record.
func (n *Node) planKey(service string) string   { return n.Keys.PlanPrefix + service }
func (n *Node) statusKey(service string) string { return n.StatusPrefix + service }

// readRecords reads the record and the status record of a service from the store.
func (n *Node) readRecords(service string) (records, error) {
	var r records
	for key, item := range map[string]*registry.Item{n.planKey(service): &r.plan, n.statusKey(service): &r.status} {
		ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
		items, _, err := n.Store.List(ctx, key)
		cancel()
		if err != nil {
			return r, err
		}
		for _, i := range items {
			if i.Key == key {
				*item = i
			}
		}
	}
	return r, nil
}

// readRecord carries out ReadRecord.
func (n *Node) readRecord(service string) {
	r, err := n.readRecords(service)
	if err != nil {
		n.storeFailed("read", service, err)
		n.step(service, ReadFailed{})
		return
	}
	e := RecordRead{Revision: r.plan.Revision, StatusRevision: r.status.Revision}
	if r.plan.Revision > 0 {
		if e.Plan, err = DecodePlan(r.plan.Value); err != nil {
			n.storeFailed("read", service, err)
			n.step(service, ReadFailed{})
			return
		}
	}
	n.step(service, e)
}

// writeRecord carries out WriteRecord in one transaction.
func (n *Node) writeRecord(service string, w WriteRecord) {
	revision, err := n.commit(service, w)
	switch {
	case err == nil:
		n.Log.Info("rollout record written", "reason", w.Plan.Reason, "service", service, "target_version", w.Plan.Order.TargetVersion, "stage", w.Plan.Stage.String(),
			"share", w.Plan.Share, "step", w.Plan.Step, "status", w.Status, "elapsed_ms", w.Plan.Elapsed.Milliseconds(), "revision", revision)
		n.step(service, WriteDone{Revision: revision})
	case errors.Is(err, problem.Conflict):
		n.Log.Info("rollout record not written", "reason", "another coordinator has written, or the store came back from an older copy", "service", service, "stage", w.Plan.Stage.String(), "step", w.Plan.Step)
		n.step(service, WriteConflict{})
	default:
		n.storeFailed("write", service, err)
		n.step(service, WriteUnsure{})
	}
}

// commit writes a record and, unless w.Status is empty, the status record, if both are at the
// revisions named.
func (n *Node) commit(service string, w WriteRecord) (uint64, error) {
	era := n.Store.Era()
	if isOfOtherEra(w.Revision, era) || w.Status != "" && isOfOtherEra(w.StatusRevision, era) {
		return 0, problem.New(problem.Conflict, service, "the revision is of another era of the store", "read the record again")
	}
	txn := registry.Transaction{
		Preconditions: []registry.Precondition{{Key: n.planKey(service), Revision: w.Revision}},
		Writes:        []registry.Write{{Key: n.planKey(service), Value: w.Plan.Encode()}},
	}
	if w.Status != "" {
		txn.Preconditions = append(txn.Preconditions, registry.Precondition{Key: n.statusKey(service), Revision: w.StatusRevision})
		txn.Writes = append(txn.Writes, registry.Write{Key: n.statusKey(service), Value: n.EncodeStatus(w.Status, w.Plan.Order.TargetVersion)})
	}
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	revision, err := n.Store.Commit(ctx, txn)
	if err == nil && n.Store.Era() != era && era != 0 {
		return 0, problem.New(problem.Unsure, service, "the store came back from an older copy during a write", "read the record again")
	}
	return revision, err
}

// isOfOtherEra reports whether a revision of a key that exists is of another era than the store's
// answers.
func isOfOtherEra(revision, era uint64) bool {
	of, _ := registry.SplitRevision(revision)
	return revision > 0 && of != era
}

// storeFailed logs a failed call to the store and pauses before the next.
func (n *Node) storeFailed(what, service string, err error) {
	n.Log.Info("rollout store call failed", "what", what, "service", service, "reason", err.Error())
	clock.Sleep(n.ctx, storeRetryTime/2+rand.N(storeRetryTime/2))
}

// restoreRecord writes a record, with its status, unless the store holds it or a later one.
func (n *Node) restoreRecord(service string, p Plan) {
	deadline := n.Now().Add(restoreTime)
	if !clock.Sleep(n.ctx, rand.N(restoreDelay)) {
		return
	}
	for n.Now().Before(deadline) && !n.isClosed() {
		done, err := n.tryRestore(service, p)
		if done {
			return
		}
		if err != nil && !errors.Is(err, problem.Conflict) {
			n.storeFailed("restore", service, err)
		}
	}
}

func (n *Node) tryRestore(service string, p Plan) (done bool, err error) {
	r, err := n.readRecords(service)
	if err != nil {
		return false, err
	}
	status := "running"
	if p.Stage.IsSettled() {
		status = p.Stage.String()
	}
	holdsPlan := r.plan.Revision > 0 && !n.KeepItem(r.plan.Key, p.Encode(), r.plan.Value)
	if holdsPlan && (!bytes.Equal(r.plan.Value, p.Encode()) || bytes.Equal(r.status.Value, n.EncodeStatus(status, p.Order.TargetVersion))) {
		return true, nil
	}
	revision, err := n.commit(service, WriteRecord{Plan: p, Revision: r.plan.Revision, Status: status, StatusRevision: r.status.Revision})
	if err != nil {
		return false, err
	}
	n.Log.Info("rollout record written again", "reason", "the store came back from an older copy", "service", service, "target_version", p.Order.TargetVersion, "stage", p.Stage.String(), "step", p.Step, "status", status, "revision", revision)
	return true, nil
}
