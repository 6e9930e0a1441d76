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
	maxAttempts  = 24
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = time.Second
)

// Editor accepts edits into the configuration that the store keeps.
type Editor struct {
	Store      kv.Store
	Now        func() time.Time                                 // time.Now when nil
	Sleep      func(ctx context.Context, d time.Duration) error // pauses between attempts; a timer when nil
	Rand       *rand.Rand                                       // seeded from the system when nil
	Log        logr.Logger
	Metrics    *metrics.Set
	MinVersion uint64 // highest version that daemons are known to serve; a head below it is refused

	mu      sync.Mutex
	rand    *rand.Rand
	current *Snapshot // last configuration that an edit was checked against
	seen    uint64    // highest version read from the store
	set     *metrics.Set
}

// Apply accepts an edit or returns why not; repeating it with the same EditID never applies it twice.
//
// Errors are of kind problem.Document, problem.Conflict, problem.Denied, problem.Backward, problem.Busy, problem.Unavailable (not accepted) or problem.Unsure.
func (e *Editor) Apply(ctx context.Context, edit Edit) (Result, error) {
	e.init()
	if edit.EditID == "" {
		edit.EditID = fmt.Sprintf("%016x", e.uint64())
	}
	a := &attempt{editor: e, edit: edit, base: edit.BaseVersion, headID: fmt.Sprintf("%016x", e.uint64())}
	r, err := a.run(ctx)
	e.report(edit, r, err)
	return r, err
}

// Head returns the accepted head; one that does not exist is empty.
func (e *Editor) Head(ctx context.Context) (wire.Head, error) {
	st, err := readState(ctx, e.Store)
	return st.head, err
}

// History returns the changes of a service that are kept, newest last.
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
		return nil, noSuchDocument(name, 0)
	}
	return changes, nil
}

// Get returns the document of a service that is accepted now, or was in force at a version that the history still holds.
func (e *Editor) Get(ctx context.Context, name string, version uint64) ([]byte, wire.HeadService, error) {
	h, err := e.Head(ctx)
	if err != nil {
		return nil, wire.HeadService{}, err
	}
	s, ok := serviceAt(&h, name, version)
	if !ok {
		return nil, wire.HeadService{}, noSuchDocument(name, version)
	}
	b, err := FetchBody(ctx, e.Store, s)
	return b.Data, s, err
}

// Rollback accepts the document that was in force at a version again, under a new version; the edit's Data and Remove are ignored.
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

// serviceAt returns a service's entry now (version 0) or as it was at a version.
func serviceAt(h *wire.Head, name string, version uint64) (wire.HeadService, bool) {
	s, ok := service(h, name)
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

func noSuchDocument(name string, version uint64) error {
	if version == 0 {
		return problem.New(problem.NotFound, "service "+name, "no document is accepted", "check the name or apply one")
	}
	return problem.New(problem.NotFound, "service "+name, fmt.Sprintf("the history no longer holds version %d", version), "choose a version that history lists")
}

func (e *Editor) init() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.set != nil {
		return
	}
	e.set = e.Metrics
	if e.set == nil {
		e.set = metrics.NewSet()
	}
	e.rand = e.Rand
	if e.rand == nil {
		var seed [32]byte
		_, _ = cryptorand.Read(seed[:])
		e.rand = rand.New(rand.NewChaCha8(seed))
	}
}

func (e *Editor) uint64() uint64 {
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

// pause waits before attempt n, between half and the whole of a growing backoff.
func (e *Editor) pause(ctx context.Context, n int) error {
	d := min(firstBackoff<<min(n, 10), maxBackoff)
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

// report logs and counts the end of an edit; the token is never among it.
func (e *Editor) report(edit Edit, r Result, err error) {
	outcome := "accepted"
	switch {
	case err != nil:
		outcome = "refused"
	case edit.DryRun:
		outcome = "checked"
	case r.Unchanged:
		outcome = "unchanged"
	}
	e.set.GetOrCreateCounter(`yuccaport_ledger_edits_total{outcome="` + outcome + `"}`).Inc()
	if err != nil {
		e.Log.Info("edit", "service", edit.Service, "edit_id", edit.EditID, "outcome", outcome, "reason", err.Error())
		return
	}
	e.Log.Info("edit", "service", edit.Service, "edit_id", edit.EditID, "outcome", outcome, "version", r.Version)
}
