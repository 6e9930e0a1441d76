package cut

// Request is a request that has ended before its caller has the whole answer.
type Request struct {
	ID      string // empty if unknown
	Route   string // empty if unknown
	State   State
	By      Ender
	Reason  string // text of an error; empty for none
	Status  int    // sent to the caller, 0 for none
	Written int64  // bytes of the answer passed to the connection or link
	Missing int64  // bytes of the answer's body that have not been passed on, -1 if unknown
	Unacked int    // bytes in the connection's send buffer
}
