// Package ledger is the versioned configuration store: the head record, its versions, and the acceptance of edits by optimistic concurrency control.
//
// The wire.HeadRef under HeadRefKey refers to the accepted wire.Head; a compare-and-swap of it accepts an edit.
package ledger
