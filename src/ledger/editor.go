package ledger

import (
	"context"
	cryptorand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	maxAttempts    = 24                    // per edit
	initialBackoff = 10 * time.Millisecond // jitter takes off up to half
	maxBackoff     = time.Second
)

// Editor applies edits to the configuration in the store; it is safe for concurrent use once its fields are set.
type Editor struct {
	Store      kv.Store
	Now        func() time.Time                                 // time.Now when nil
	Sleep      func(ctx context.Context, d time.Duration) error // waits between attempts; a timer when nil
	Rand       *rand.Rand                                       // seeded from the system when nil
	Log        logr.Logger
	Metrics    *metrics.Set
	MinVersion uint64 // highest version that daemons are known to serve; edits are refused while the store holds an older one

	mu             sync.Mutex
	rand           *rand.Rand   // Rand, or a generator seeded from the system
	latestSnapshot *Snapshot    // latest configuration that an edit was checked against
	latestVersion  uint64       // highest version read from or written to the store
	metricSet      *metrics.Set // Metrics, or an unregistered set when nil
}

// Apply makes an edit part of the accepted configuration, or returns an error when it is refused.
//
// Repeating it with the same EditID returns the version accepted earlier, as long as the history holds that change (see MaxChangesPerService and MaxChanges); after that it is a new edit.
//
// Errors are of kind problem.Usage, problem.Document, problem.NotFound (no document to remove), problem.Denied, problem.Protocol,
// problem.Conflict (the document has changed since BaseVersion, or EditID was used for another edit),
// problem.Backward (the store holds an older version than was accepted before), problem.Busy (too many pending or retired keys),
// problem.Unavailable (not accepted) or problem.Unsure (may have been accepted).
func (e *Editor) Apply(ctx context.Context, edit Edit) (Result, error) {
	e.init()
	if edit.EditID == "" {
		edit.EditID = fmt.Sprintf("%016x", e.randomUint64())
	}
	op := &editOp{editor: e, edit: edit, baseVersion: edit.BaseVersion, headID: fmt.Sprintf("%016x", e.randomUint64())}
	r, err := op.run(ctx)
	e.report(edit, r, err)
	return r, err
}

// Head returns the accepted head, an empty one when no configuration was ever accepted; errors are those of the store or of kind problem.Protocol.
func (e *Editor) Head(ctx context.Context) (wire.Head, error) {
	st, err := readState(ctx, e.Store)
	return st.head, err
}

// History returns the changes of a service that the history holds, newest last; errors are those of Head or, when there are none, of kind problem.NotFound.
func (e *Editor) History(ctx context.Context, name string) ([]wire.HeadChange, error) {
	h, err := e.Head(ctx)
	if err != nil {
		return nil, err
	}
	var changes []wire.HeadChange
	for _, c := range h.Changes {
		if c.Service == name {
			changes = append(changes, c)
		}
	}
	if len(changes) == 0 {
		return nil, documentNotFound(name, 0)
	}
	return changes, nil
}

// Get returns the document of a service as of a version that the history still covers (0: the accepted one), and its entry.
//
// The entry of a document that has been replaced or removed since has no Size and TokenHash.
// Errors are those of the store or of kind problem.Protocol or, when there is no such document, problem.NotFound.
func (e *Editor) Get(ctx context.Context, name string, version uint64) ([]byte, wire.HeadService, error) {
	h, err := e.Head(ctx)
	if err != nil {
		return nil, wire.HeadService{}, err
	}
	s, ok := serviceAt(&h, name, version)
	if !ok {
		return nil, wire.HeadService{}, documentNotFound(name, version)
	}
	b, err := FetchBody(ctx, e.Store, s)
	return b.Data, s, err
}

// Rollback applies the document of a service as of toVersion again; the edit's Data, File and Remove are ignored, and an empty Note is filled in.
//
// Errors are those of Get and Apply.
func (e *Editor) Rollback(ctx context.Context, edit Edit, toVersion uint64) (Result, error) {
	data, _, err := e.Get(ctx, edit.Service, toVersion)
	if err != nil {
		return Result{}, err
	}
	edit.Data, edit.Remove = data, false
	edit.File = fmt.Sprintf("%s of version %d", edit.Service, toVersion)
	if edit.Note == "" {
		edit.Note = fmt.Sprintf("rollback to version %d", toVersion)
	}
	return e.Apply(ctx, edit)
}

// serviceAt returns the entry of a service as of a version, or the accepted one for version 0; an entry taken from the history has no Size and TokenHash.
func serviceAt(h *wire.Head, name string, version uint64) (wire.HeadService, bool) {
	s, ok := findService(h, name)
	if version == 0 || (ok && s.Version <= version) {
		return s, ok
	}
	found := wire.HeadService{}
	for _, c := range h.Changes {
		if c.Service == name && c.Version <= version {
			found = wire.HeadService{Name: name, Version: c.Version, Digest: c.Digest}
		}
	}
	return found, found.Digest != ""
}

func documentNotFound(name string, version uint64) error {
	if version == 0 {
		return problem.New(problem.NotFound, "service "+name, "no document is accepted", "check the name or apply one")
	}
	return problem.New(problem.NotFound, "service "+name, fmt.Sprintf("it had no document at version %d, or the history no longer reaches back to it", version), "choose a version that history lists and that is no removal")
}

func (e *Editor) init() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.metricSet != nil {
		return
	}
	e.metricSet = e.Metrics
	if e.metricSet == nil {
		e.metricSet = metrics.NewSet()
	}
	e.rand = e.Rand
	if e.rand == nil {
		var seed [32]byte
		_, _ = cryptorand.Read(seed[:])
		e.rand = rand.New(rand.NewChaCha8(seed))
	}
}

func (e *Editor) randomUint64() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rand.Uint64()
}

func (e *Editor) now() time.Time {
	if e.Now != nil {
		return e.Now()
	}
	return time.Now()
}

// backOff waits before retry n (from 0), for a random time between half of an exponential backoff and all of it.
func (e *Editor) backOff(ctx context.Context, n int) error {
	d := min(initialBackoff<<min(n, 10), maxBackoff)
	e.mu.Lock()
	d = d/2 + time.Duration(e.rand.Int64N(int64(d/2)))
	e.mu.Unlock()
	if e.Sleep != nil {
		return e.Sleep(ctx, d)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// report logs and counts the outcome of an edit; the token is never logged.
func (e *Editor) report(edit Edit, r Result, err error) {
	outcome := "accepted"
	switch {
	case err != nil:
		outcome = "refused" // any error, also when the edit may have been accepted (problem.Unsure)
	case edit.DryRun:
		outcome = "checked"
	case r.Unchanged:
		outcome = "unchanged"
	}
	e.metricSet.GetOrCreateCounter(`yuccaport_ledger_edits_total{outcome="` + outcome + `"}`).Inc()
	if err != nil {
		e.Log.Info("edit", "service", edit.Service, "edit_id", edit.EditID, "outcome", outcome, "reason", err.Error())
		return
	}
	e.Log.Info("edit", "service", edit.Service, "edit_id", edit.EditID, "outcome", outcome, "version", r.Version)
}
