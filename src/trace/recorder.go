package trace

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Recorder writes a trace; a nil Recorder records nothing.
type Recorder struct {
	W        io.Writer
	Header   Header
	MaxBytes int64 // recording stops there, 0 for no bound

	mu      sync.Mutex
	start   time.Time
	written int64
	err     error
}

// Record appends an event and the actions that the core took on it.
func (r *Recorder) Record(now time.Time, event any, outcome []Outcome) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil || (r.MaxBytes > 0 && r.written >= r.MaxBytes) {
		return
	}
	if r.start.IsZero() {
		r.start = now
		r.line(r.Header)
	}
	b, err := json.Marshal(event)
	if err != nil {
		r.err = err
		return
	}
	r.line(Entry{At: now.Sub(r.start), Kind: Kind(event), Event: b, Outcome: outcome})
}

// Err returns the error that ended the recording, or nil.
func (r *Recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

func (r *Recorder) line(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		r.err = err
		return
	}
	n, err := r.W.Write(append(b, '\n'))
	r.written += int64(n)
	r.err = err
}
