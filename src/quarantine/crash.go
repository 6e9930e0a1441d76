package quarantine

import "time"

// Crash is the crash of a backend server while it ran a request.
type Crash struct {
	ID       uint64 // the same for all requests that ran at that moment
	Content  uint64
	Instance string // that crashed
	Time     time.Time
	Usual    time.Duration // within which the request had been answered before the crash, 0 if it never was
	Cleared  bool          // the request is known not to be the cause
}
