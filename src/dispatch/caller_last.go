package dispatch

// A connection ends after a request that came too late in a planned stop: the requests that have been
// read behind it are answered too, and what arrives later is discarded, since a caller that sends on
// would otherwise keep the connection busy with refusals.

// endAfterPending makes the requests that have been read the last ones to be answered.
func (c *callerConn) endAfterPending() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending {
		c.ending, c.answerable = true, len(c.pending)
	}
}

// hasAnsweredLast reports whether the present request is the last one to be answered.
func (c *callerConn) hasAnsweredLast() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending || c.answerable > 0 {
		return false
	}
	if len(c.pending) > 0 {
		c.noteClose(closeReadAhead)
	}
	return true
}
