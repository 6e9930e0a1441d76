package booking

// Result is the way in which an admitted call ended.
type Result uint8

// Of the results, ResultAnswered may raise the concurrency limit, ResultShed and ResultReset may
// lower it; the others leave it unchanged.
const (
	ResultAnswered Result = iota // the backend server answered, whatever the status
	ResultShed                   // the backend server refused to run it
	ResultNotSent                // not sent: there was no connection to the backend server, or the request was quarantined
	ResultFailed                 // interrupted, timed out or cancelled
	ResultReset                  // the backend server reset its connection because it is full
)
