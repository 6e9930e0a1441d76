package cut

// State is how far a request has come.
type State uint8

// The states of a request, in the order in which it passes through them.
const (
	Unread          State = iota + 1 // in the socket of its caller's connection
	Held                             // read, behind another request on that connection
	Header                           // its header is being read
	Body                             // its body is arriving
	Queued                           // whole, and not yet sent to a server
	Sent                             // on a link, or at the agent beside the server
	Running                          // at the agent beside the server: waits for a slot, or runs
	AnswerArriving                   // its answer is arriving, and none of it has been passed on
	AnswerStreaming                  // its answer is being passed on
	AnswerWritten                    // its answer has been written, and the receiver has not acknowledged all of it
)

var stateNames = map[State]string{
	Unread: "unread", Held: "held", Header: "header", Body: "body", Queued: "queued", Sent: "sent", Running: "running",
	AnswerArriving: "answer_arriving", AnswerStreaming: "answer_streaming", AnswerWritten: "answer_written",
}

// String returns the state's name in logs and metrics.
func (s State) String() string { return stateNames[s] }
