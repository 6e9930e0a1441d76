package ledger

// Edit is a change of one service's document.
type Edit struct {
	Service     string
	Data        []byte // the document as the team wrote it
	File        string // where Data was read from, for messages
	BaseVersion uint64 // version the edit was made from, 0 when not stated
	Token       string // the team's token
	EditID      string // drawn when empty
	Note        string // for the history, cut to MaxNoteSize
	DryRun      bool   // check and show the difference only
	Remove      bool   // remove the document
}

// Result tells what became of an edit.
type Result struct {
	Version   uint64 // configuration version in which the edit stands, the latest one after a dry run
	Unchanged bool   // the accepted document was the same
	Diff      string // lines removed and added
}
