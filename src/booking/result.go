package booking

// Result is the way in which an admitted call ended.
type Result uint8

// The results.
const (
	ResultAnswered     Result = iota // answered
	ResultShed                       // the backend server refused to run it
	ResultNoConnection               // no connection to the backend server
	ResultFailed                     // interrupted, timed out or cancelled
)
