// Package ledger is the versioned configuration store: the head record, its versions, and the acceptance of edits by optimistic concurrency control.
package ledger
