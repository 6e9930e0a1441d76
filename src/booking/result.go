package booking

// Result is how an admitted call ended.
type Result uint8

// The results.
const (
	ResultAnswered     Result = iota // answered
	ResultShed                       // the backend server refused to run it
	ResultNoConnection               // no connection to the backend server
	ResultFailed                     // broken off, timed out or cancelled
)
