// Package ledger holds the accepted configuration: the head record, its versions, and the acceptance of edits.
package ledger
