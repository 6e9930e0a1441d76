package booking

// Result is how an admitted call ended.
type Result uint8

// The results.
const (
	ResultDone    Result = iota // answered
	ResultShed                  // the backend server refused to run it
	ResultConnect               // no connection
	ResultFailed                // broken off, timed out or cancelled
)
