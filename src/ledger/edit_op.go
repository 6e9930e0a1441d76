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

// editOp is one call of Editor.Apply, with its state across attempts.
type editOp struct {
	editor        *Editor
	edit          Edit
	doc           *document.Document // nil for a removal
	digest        string             // empty for a removal
	baseVersion   uint64             // configuration version that the edit is based on: the document must not have changed since
	headID        string             // id of the head that contains the edit, see HeadKey
	baseFixed     bool               // baseVersion is final: set once the first head has been checked
	bodyStored    bool               // the body needs no further write: since the keys were last listed as pending it was written, or found stored
	mayBeAccepted bool               // a swap of the reference may have accepted the edit
}

// run tries the edit until it is accepted or refused, maxAttempts times at most.
func (op *editOp) run(ctx context.Context) (Result, error) {
	if err := op.prepare(); err != nil {
		return Result{}, err
	}
	var lastErr error
	for n := range maxAttempts {
		if n > 0 {
			if err := op.editor.backOff(ctx, n-1); err != nil {
				return Result{}, op.finalError(errors.Join(err, lastErr))
			}
		}
		r, err := op.try(ctx)
		if err == nil {
			return r, nil
		}
		var retryable *retryableError
		if !errors.As(err, &retryable) {
			return Result{}, err
		}
		lastErr = retryable.err
	}
	return Result{}, op.finalError(lastErr)
}

// retryableError marks an error after which the edit is tried again on the latest head.
type retryableError struct{ err error }

func (r *retryableError) Error() string { return r.err.Error() }
func (r *retryableError) Unwrap() error { return r.err }

// finalError returns the error of an edit that is not tried again after a retryable error; it states whether the edit may have been accepted.
func (op *editOp) finalError(err error) error {
	if op.mayBeAccepted {
		return problem.Wrap(problem.Unsure, err, "service "+op.edit.Service, "the edit may have been accepted",
			fmt.Sprintf("run it again soon with edit id %s: it is not applied twice while the history holds it", op.edit.EditID))
	}
	if errors.Is(err, problem.Backward) {
		return err
	}
	return problem.Wrap(problem.Unavailable, err, "service "+op.edit.Service, "the edit was not accepted", "try again when the store answers")
}

// prepare truncates the note, parses the document and makes the checks that need no store.
func (op *editOp) prepare() error {
	if len(op.edit.EditID) > maxEditIDSize {
		return problem.New(problem.Usage, "edit id", fmt.Sprintf("%d bytes", len(op.edit.EditID)), fmt.Sprintf("use at most %d", maxEditIDSize))
	}
	op.edit.Note = truncateNote(op.edit.Note)
	if op.edit.Remove {
		return nil
	}
	d, err := document.Parse(op.edit.File, op.edit.Data)
	if err != nil {
		return err
	}
	if d.Service != op.edit.Service {
		return problem.New(problem.Document, op.edit.File, fmt.Sprintf("it is the document of service %q", d.Service), fmt.Sprintf("apply it as %q or correct the service key", d.Service))
	}
	op.doc, op.digest = d, Digest(op.edit.Data)
	return nil
}

// try makes one attempt on the configuration that the store holds now.
func (op *editOp) try(ctx context.Context) (Result, error) {
	st, err := readState(ctx, op.editor.Store)
	if err != nil {
		return Result{}, markRetryable(err)
	}
	if c, ok := changeByEditID(&st.head, op.edit.EditID); ok {
		return op.earlierResult(c)
	}
	if err := op.editor.checkMinVersion(st.ref.Version); err != nil {
		return Result{}, &retryableError{err} // a lagging replica may have answered with an older version
	}
	if err := op.checkTokenAndBase(ctx, &st.head); err != nil {
		return Result{}, err
	}
	oldData, err := op.checkConfiguration(ctx, st)
	if err != nil {
		return Result{}, err
	}
	s, exists := findService(&st.head, op.edit.Service)
	// An edit with the same document is still accepted when it sets the service's first token.
	if exists && s.Digest == op.digest && (op.edit.Token == "" || s.TokenHash != "") {
		return Result{Version: s.Version, Unchanged: true}, nil
	}
	r := Result{Version: st.ref.Version, Diff: Diff(oldData, op.edit.Data)}
	if op.edit.DryRun {
		return r, nil
	}
	r.Version, err = op.accept(ctx, st)
	return r, err
}

// earlierResult returns the version of the change accepted earlier under the edit's id, or an error of kind problem.Conflict when that was a different edit.
func (op *editOp) earlierResult(c wire.HeadChange) (Result, error) {
	if c.Service != op.edit.Service || c.Digest != op.digest {
		return Result{}, problem.New(problem.Conflict, "edit id "+op.edit.EditID, fmt.Sprintf("it was used for another edit of service %q", c.Service), "omit the edit id to have one generated")
	}
	return Result{Version: c.Version}, nil
}

// checkTokenAndBase checks the token, that the document has not changed since the base version, and that a document to remove exists.
//
// A base version that was not given is taken from the first head checked.
func (op *editOp) checkTokenAndBase(ctx context.Context, h *wire.Head) error {
	s, exists := findService(h, op.edit.Service)
	if !op.edit.DryRun {
		if err := authorize(s, op.edit.Token); err != nil {
			return err
		}
	}
	last, _ := latestChange(h, op.edit.Service)
	latest := max(s.Version, last.Version)
	if op.baseVersion == 0 && !op.baseFixed {
		op.baseVersion = latest
	}
	op.baseFixed = true
	if latest > op.baseVersion {
		return op.conflictError(ctx, h, last)
	}
	if op.edit.Remove && !exists {
		return documentNotFound(op.edit.Service, 0)
	}
	return nil
}

// conflictError returns the error for a document that has changed since the base version: of kind problem.Conflict, with the difference if it can be read,
// or of kind problem.Unsure when the change may be the edit itself, accepted earlier and since dropped from the history.
func (op *editOp) conflictError(ctx context.Context, h *wire.Head, last wire.HeadChange) error {
	place := "service " + op.edit.Service
	if op.mayBeAccepted {
		if oldest, _ := oldestChange(h, op.edit.Service); oldest.Version > op.baseVersion {
			return problem.New(problem.Unsure, place, "the edit may have been accepted and then replaced: the history no longer reaches back to it", "compare the document with yours and apply again if needed")
		}
	}
	what := fmt.Sprintf("it was changed in version %d at %s by edit %s (%s), after version %d from which this edit was made",
		last.Version, time.UnixMilli(last.At).UTC().Format(time.RFC3339), last.EditID, last.Note, op.baseVersion)
	if diff := op.diffSinceBase(ctx, h); diff != "" {
		what += ":\n" + diff
	}
	return problem.New(problem.Conflict, place, what, fmt.Sprintf("get the document again, make your change on it, and apply it with base version %d", max(last.Version, h.Version)))
}

// diffSinceBase returns the difference between the document at the base version and the accepted one, or "" when one of them cannot be fetched.
//
// A document that does not exist, or that the history no longer holds, counts as empty.
func (op *editOp) diffSinceBase(ctx context.Context, h *wire.Head) string {
	var texts [2][]byte
	for i, version := range [2]uint64{op.baseVersion, 0} {
		s, ok := serviceAt(h, op.edit.Service, version)
		if !ok {
			continue
		}
		b, err := FetchBody(ctx, op.editor.Store, s)
		if err != nil {
			return ""
		}
		texts[i] = b.Data
	}
	return Diff(texts[0], texts[1])
}

// checkConfiguration checks the complete configuration with the edit applied and returns the document before the edit.
func (op *editOp) checkConfiguration(ctx context.Context, st storedState) ([]byte, error) {
	snapshot, err := op.editor.currentSnapshot(ctx, st)
	if err != nil {
		return nil, err
	}
	docs := maps.Clone(snapshot.Documents)
	delete(docs, op.edit.Service)
	if op.doc != nil {
		docs[op.edit.Service] = op.doc
	}
	return snapshot.Bodies[op.edit.Service].Data, document.CheckAll(docs)
}

// markRetryable wraps the errors of the store after which another attempt may succeed.
func markRetryable(err error) error {
	if err == nil {
		return nil
	}
	for _, k := range []problem.Kind{problem.Unavailable, problem.Unsure, problem.Conflict, problem.NotFound} {
		if errors.Is(err, k) {
			return &retryableError{err}
		}
	}
	return err
}

func truncateNote(s string) string {
	if len(s) <= MaxNoteSize {
		return s
	}
	n := MaxNoteSize
	for n > 0 && s[n]&0xc0 == 0x80 {
		n--
	}
	return s[:n]
}
