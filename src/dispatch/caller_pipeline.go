package dispatch

// Callers may send further requests before the first is answered. The HTTP server is given one
// header and one body at a time, and the bytes behind it wait in callerConn.pending: the server sends an answer
// only once it has nothing left to read, so that otherwise an answer would wait for the slow request
// behind it, and only so is it known during a shutdown which requests have been read.

// setBodyLength sets the length of the present request's body, negative for chunks.
func (c *callerConn) setBodyLength(n int) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header.setBodyLength(int64(n))
}

// keepBehindHeader keeps what follows the end of the present header or body for the next reads, and returns
// the number of bytes up to there. c.mu must be held, and c.pending be empty.
func (c *callerConn) keepBehindHeader(b []byte) int {
	n := c.header.scan(b)
	if n < len(b) {
		c.hold(b[n:])
	}
	return n
}

// mayAnnounceClose reports whether the answer that is to be written may announce that it is the last
// one: no request has been read or has arrived behind the present one. A streamed answer may not,
// since further requests arrive while it is written.
func (c *callerConn) mayAnnounceClose(streamed bool) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !streamed && len(c.pending) == 0 && c.pendingErr == nil && c.mayPipeline.Load() {
		c.readArrived()
	}
	return !streamed && len(c.pending) == 0
}

// setMayPipeline records whether further requests may follow a request: it was well-formed and has no body.
func (c *callerConn) setMayPipeline(ok bool) {
	if c != nil {
		c.mayPipeline.Store(ok)
	}
}
