package dispatch

// headerScanner finds the end of a request's header in the bytes read from a caller. The zero value
// is at the start of a request.
type headerScanner struct {
	done     bool // the header is complete; what follows may be a body
	started  bool // a line that is not empty has begun
	nonEmpty bool // the present line is not empty
}

// scan returns the number of bytes up to the end of the header, all if it does not end there or has
// ended before.
func (s *headerScanner) scan(b []byte) int {
	if s.done {
		return len(b)
	}
	for i, c := range b {
		switch {
		case c != '\n' && c != '\r':
			s.started, s.nonEmpty = true, true
		case c == '\n' && s.nonEmpty:
			s.nonEmpty = false
		case c == '\n' && s.started:
			s.done = true
			return i + 1
		}
	}
	return len(b)
}
