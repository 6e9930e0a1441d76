package ledger

// Edit is a change of one service's document.
type Edit struct {
	Service     string
	Data        []byte // the document as the team wrote it
	File        string // where Data was read from, for messages
	BaseVersion uint64 // configuration version the edit is based on: refused when the document has changed since; 0: the version at the first attempt, so that only changes made during the call are refused
	Token       string // the team's token: the first edit with one sets that of the service, later edits must give it; not checked in a dry run
	EditID      string // idempotency key, see Editor.Apply; generated when empty
	Note        string // for the history, truncated to MaxNoteSize
	DryRun      bool   // only check the edit and return the difference
	Remove      bool   // remove the document
}

// Result is the outcome of an edit.
type Result struct {
	// Version is the configuration version that accepted the edit, in this call or in an earlier one with the same EditID;
	// if Unchanged, the one that accepted the present document; after any other dry run, the latest accepted version.
	Version   uint64
	Unchanged bool   // the accepted document was already the same
	Diff      string // lines removed and added, see Diff
}
