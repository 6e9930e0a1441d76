package deposit

// Result is the result of a store call.
type Result string

// Results of a store call.
const (
	ResultOK          Result = "ok"
	ResultMissing     Result = "missing"     // a read of a key that does not exist
	ResultConflict    Result = "conflict"    // a write that expected another revision
	ResultUnsure      Result = "unsure"      // a write that may have taken effect
	ResultUnavailable Result = "unavailable" // a write that was not carried out, or a read that failed or returned a slot that cannot be decoded
)
