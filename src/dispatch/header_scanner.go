package dispatch

// headerScanner finds the end of a request's header, and that of its body, in the bytes read from a
// caller. The zero value is at the start of a request.
type headerScanner struct {
	done     bool // the header is complete; what follows may be a body
	started  bool // a line that is not empty has begun
	nonEmpty bool // the present line is not empty

	lengthKnown bool
	length      int64 // bytes of the body, negative for chunks
	passed      int64 // bytes behind the header that scan has returned
	chunks      chunkScanner
}

// setBodyLength sets the length of the body, which the HTTP server tells once it has read the header.
func (s *headerScanner) setBodyLength(n int64) { s.lengthKnown, s.length = true, n }

// scan returns the number of bytes up to the end of the header, or up to that of the body once the
// header has ended; all if there is no such end. Until the length of the body is known, it passes one
// byte of it at a time.
func (s *headerScanner) scan(b []byte) int {
	if s.done {
		n := len(b)
		switch left := s.length - s.passed; {
		case !s.lengthKnown:
			n = min(n, 1)
			s.chunks.scan(b[:n]) // which they may be
		case s.length < 0:
			n = s.chunks.scan(b)
		case left > 0:
			n = int(min(int64(n), left))
		}
		s.passed += int64(n)
		return n
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
