package deposit

// Result is how the store answered a call.
type Result string

// The results of a store call.
const (
	ResultOK          Result = "ok"
	ResultMissing     Result = "missing"     // a read of a key that does not exist
	ResultConflict    Result = "conflict"    // a write from another revision
	ResultUnsure      Result = "unsure"      // a write that may have taken effect
	ResultUnavailable Result = "unavailable" // a call that was not carried out
)
