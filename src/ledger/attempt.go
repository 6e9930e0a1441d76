package ledger

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// attempt carries one edit through to its end.
type attempt struct {
	editor  *Editor
	edit    Edit
	doc     *document.Document // nil for a removal
	digest  string             // empty for a removal
	base    uint64             // version of the service that the edit is made from
	headID  string             // of the key under which the head with the edit is written
	pinned  bool               // base is known
	written bool               // the body was written while the reference listed it
	unsure  bool               // an acceptance may have taken effect
}

// run repeats the steps of the edit until it is accepted, refused, or out of attempts.
func (a *attempt) run(ctx context.Context) (Result, error) {
	if err := a.prepare(); err != nil {
		return Result{}, err
	}
	var last error
	for n := range maxAttempts {
		if n > 0 {
			if err := a.editor.pause(ctx, n-1); err != nil {
				return Result{}, a.giveUp(errors.Join(err, last))
			}
		}
		r, err := a.step(ctx)
		if err == nil {
			return r, nil
		}
		var again *retry
		if !errors.As(err, &again) {
			return Result{}, err
		}
		last = again.err
	}
	return Result{}, a.giveUp(last)
}

// retry marks an error after which the edit is tried again on a fresh head.
type retry struct{ err error }

func (r *retry) Error() string { return r.err.Error() }
func (r *retry) Unwrap() error { return r.err }

// giveUp tells truthfully whether the edit may have been accepted.
func (a *attempt) giveUp(err error) error {
	if a.unsure {
		return problem.Wrap(problem.Unsure, err, "service "+a.edit.Service, "the edit may have been accepted",
			fmt.Sprintf("run it again with edit id %s, which never applies it twice", a.edit.EditID))
	}
	if errors.Is(err, problem.Backward) {
		return err
	}
	return problem.Wrap(problem.Unavailable, err, "service "+a.edit.Service, "the edit was not accepted", "try again when the store answers")
}

// prepare checks what can be checked without the store.
func (a *attempt) prepare() error {
	if len(a.edit.EditID) > maxEditIDSize {
		return problem.New(problem.Usage, "edit id", fmt.Sprintf("%d bytes", len(a.edit.EditID)), fmt.Sprintf("use at most %d", maxEditIDSize))
	}
	a.edit.Note = cutNote(a.edit.Note)
	if a.edit.Remove {
		return nil
	}
	d, err := document.Parse(a.edit.File, a.edit.Data)
	if err != nil {
		return err
	}
	if d.Service != a.edit.Service {
		return problem.New(problem.Document, a.edit.File, fmt.Sprintf("it is the document of service %q", d.Service), fmt.Sprintf("apply it as %q or correct the service key", d.Service))
	}
	a.doc, a.digest = d, Digest(a.edit.Data)
	return nil
}

// step tries the edit on the configuration as it is now.
func (a *attempt) step(ctx context.Context) (Result, error) {
	st, err := readState(ctx, a.editor.Store)
	if err != nil {
		return Result{}, retryStore(err)
	}
	if c, ok := edited(&st.head, a.edit.EditID); ok {
		return a.settle(c)
	}
	if err := a.editor.notBelowFloor(st.ref.Version); err != nil {
		return Result{}, &retry{err}
	}
	if err := a.admit(ctx, &st.head); err != nil {
		return Result{}, err
	}
	before, err := a.check(ctx, st)
	if err != nil {
		return Result{}, err
	}
	s, held := service(&st.head, a.edit.Service)
	if held && s.Digest == a.digest && (a.edit.Token == "" || s.TokenHash != "") {
		return Result{Version: s.Version, Unchanged: true}, nil
	}
	r := Result{Version: st.ref.Version, Diff: Diff(before, a.edit.Data)}
	if a.edit.DryRun {
		return r, nil
	}
	r.Version, err = a.accept(ctx, st)
	return r, err
}

// settle recognizes the edit's own earlier success.
func (a *attempt) settle(c wire.HeadChange) (Result, error) {
	if c.Service != a.edit.Service || c.Digest != a.digest {
		return Result{}, problem.New(problem.Conflict, "edit id "+a.edit.EditID, fmt.Sprintf("it was used for another edit of service %q", c.Service), "leave the edit id out to have one drawn")
	}
	return Result{Version: c.Version}, nil
}

// admit checks the token and that nobody else has changed the document since the edit's base.
func (a *attempt) admit(ctx context.Context, h *wire.Head) error {
	s, held := service(h, a.edit.Service)
	if !a.edit.DryRun {
		if err := authorize(s, a.edit.Token); err != nil {
			return err
		}
	}
	last, _ := lastChange(h, a.edit.Service)
	latest := max(s.Version, last.Version)
	if a.base == 0 && !a.pinned {
		a.base = latest
	}
	a.pinned = true
	if latest > a.base {
		return a.conflict(ctx, h, last)
	}
	if a.edit.Remove && !held {
		return noSuchDocument(a.edit.Service, 0)
	}
	return nil
}

// conflict shows what another edit has changed and how to go on.
func (a *attempt) conflict(ctx context.Context, h *wire.Head, last wire.HeadChange) error {
	place := "service " + a.edit.Service
	if a.unsure {
		if oldest, _ := firstChange(h, a.edit.Service); oldest.Version > a.base {
			return problem.New(problem.Unsure, place, "the edit may have been accepted and then replaced: the history no longer reaches back to it", "compare the document with yours and apply again if needed")
		}
	}
	what := fmt.Sprintf("it was changed in version %d at %s by edit %s (%s), after version %d from which this edit was made",
		last.Version, time.UnixMilli(last.At).UTC().Format(time.RFC3339), last.EditID, last.Note, a.base)
	if diff := a.foreignDiff(ctx, h); diff != "" {
		what += ":\n" + diff
	}
	return problem.New(problem.Conflict, place, what, fmt.Sprintf("get the document again, make your change on it, and apply it with base version %d", max(last.Version, h.Version)))
}

// foreignDiff returns what others have changed since the base, or "" when it cannot be told.
func (a *attempt) foreignDiff(ctx context.Context, h *wire.Head) string {
	var texts [2][]byte
	for i, version := range [2]uint64{a.base, 0} {
		s, ok := serviceAt(h, a.edit.Service, version)
		if !ok {
			continue
		}
		b, err := FetchBody(ctx, a.editor.Store, s)
		if err != nil {
			return ""
		}
		texts[i] = b.Data
	}
	return Diff(texts[0], texts[1])
}

// check checks the whole configuration with the edit in it and returns the document as it was before.
func (a *attempt) check(ctx context.Context, st state) ([]byte, error) {
	cur, err := a.editor.follow(ctx, st)
	if err != nil {
		return nil, err
	}
	docs := maps.Clone(cur.Documents)
	delete(docs, a.edit.Service)
	if a.doc != nil {
		docs[a.edit.Service] = a.doc
	}
	return cur.Bodies[a.edit.Service].Data, document.CheckAll(docs)
}

// retryStore wraps the errors of the store after which another attempt makes sense.
func retryStore(err error) error {
	if err == nil {
		return nil
	}
	for _, k := range []problem.Kind{problem.Unavailable, problem.Unsure, problem.Conflict, problem.NotFound} {
		if errors.Is(err, k) {
			return &retry{err}
		}
	}
	return err
}

func cutNote(s string) string {
	if len(s) <= MaxNoteSize {
		return s
	}
	n := MaxNoteSize
	for n > 0 && s[n]&0xc0 == 0x80 {
		n--
	}
	return s[:n]
}
