package deposit_test

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/standin"
)

// storeFault is how a scriptedStore handles one call; the empty one is no fault. A fault of the other kind of call counts as none.
type storeFault string

const (
	down              storeFault = "down"                // Get or Swap: not carried out
	lost              storeFault = "lost"                // Swap: takes effect, but the answer is lost
	notApplied        storeFault = "not_applied"         // Swap: stands for a write still under way, which does not take effect; the answer is lost
	interfereFirst    storeFault = "interfere_first"     // Swap: interfere is called, and then the call is carried out
	interfereThenDown storeFault = "interfere_then_down" // Get: interfere is called, and then the call is not carried out
)

// scriptedStore is a store with a given fault for each of its next calls.
type scriptedStore struct {
	standin.Keyspace
	mu        sync.Mutex
	faults    []storeFault
	interfere func() // called before a call with interfereFirst or interfereThenDown
}

// setFaults sets the faults of the next calls, in order.
func (s *scriptedStore) setFaults(faults ...storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *scriptedStore) nextFault() storeFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return ""
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault
}

func (s *scriptedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	switch s.nextFault() {
	case interfereThenDown:
		s.interfere()
		fallthrough
	case down:
		return kv.Entry{}, problem.New(problem.Unavailable, key, "down", "wait")
	}
	return s.Keyspace.Get(ctx, key)
}

func (s *scriptedStore) Swap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	unsure := problem.New(problem.Unsure, key, "lost", "read it")
	switch s.nextFault() {
	case down:
		return 0, problem.New(problem.Unavailable, key, "down", "wait")
	case notApplied:
		return 0, unsure
	case lost:
		if _, err := s.Keyspace.Swap(ctx, key, expect, value); err != nil {
			return 0, err
		}
		return 0, unsure
	case interfereFirst:
		s.interfere()
	}
	return s.Keyspace.Swap(ctx, key, expect, value)
}

// manualClock is a clock that advances only by Add.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) Add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// traceBuffer holds a trace that is being recorded.
type traceBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *traceBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// waitForLines returns the trace once it has the given number of lines.
func (b *traceBuffer) waitForLines(lines int) []byte {
	for {
		b.mu.Lock()
		data := bytes.Clone(b.buf.Bytes())
		b.mu.Unlock()
		if bytes.Count(data, []byte("\n")) >= lines {
			return data
		}
		time.Sleep(time.Millisecond)
	}
}
