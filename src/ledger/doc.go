// Package ledger is the versioned configuration store, with optimistic concurrency control of edits.
//
// The reference (wire.HeadRef, under HeadRefKey) refers to the accepted head (wire.Head), which lists the documents and their history.
// A compare-and-swap of the reference accepts an edit.
package ledger
