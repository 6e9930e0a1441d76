package ledger

// Edit is a change of one service's document.
type Edit struct {
	Service     string
	Data        []byte // the document as the team wrote it
	File        string // where Data was read from, for messages
	BaseVersion uint64 // version the edit is based on, 0 when not given
	Token       string // the team's token
	EditID      string // idempotency key, generated when empty
	Note        string // for the history, truncated to MaxNoteSize
	DryRun      bool   // only check the edit and return the difference
	Remove      bool   // remove the document
}

// Result is the outcome of an edit.
type Result struct {
	Version   uint64 // configuration version that contains the edit, the latest one after a dry run
	Unchanged bool   // the accepted document was already the same
	Diff      string // lines removed and added, see Diff
}
