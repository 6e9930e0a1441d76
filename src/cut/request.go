package cut

import "time"

// Request is a request that has ended before its caller has the whole answer.
type Request struct {
	ID      string // empty if unknown
	Route   string // empty if unknown
	State   State
	End     End  // EndUnknown where it is not the component's to know
	Sent    bool // to a member
	Answer  End  // of the answer that was being written, EndUnknown for none
	By      Ender
	Took    time.Duration // since its header was read, 0 if unknown
	Reason  string        // text of an error; empty for none
	Status  int           // sent to the caller, 0 for none
	Written int64         // bytes of the answer passed to the connection or link
	Missing int64         // bytes of the answer's body that have not been passed on, -1 if unknown
	Unacked int           // bytes in the connection's send buffer
}

// endValues returns the fields of a log line on how the request ended.
func (q *Request) endValues() []any {
	out := []any{"end", q.End.String(), "sent", q.Sent, "took_ms", q.Took.Milliseconds()}
	if q.Answer != EndUnknown {
		out = append(out, "answer", q.Answer.String())
	}
	return out
}
