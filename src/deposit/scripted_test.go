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

// way is how a scripted store treats one call.
type way string

const (
	down  way = "down"  // not carried out
	lost  way = "lost"  // takes effect, the answer is lost
	held  way = "held"  // does not take effect, the answer is lost
	rival way = "rival" // something else comes first
	late  way = "late"  // something else comes first, and then it is not carried out
)

// scripted is a store that treats its first calls as it is told.
type scripted struct {
	standin.Keyspace
	mu    sync.Mutex
	ways  []way
	rival func() // what comes first
}

// script sets the ways of the next calls.
func (s *scripted) script(ways ...way) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ways = ways
}

func (s *scripted) next() way {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ways) == 0 {
		return ""
	}
	w := s.ways[0]
	s.ways = s.ways[1:]
	return w
}

func (s *scripted) Get(ctx context.Context, key string) (kv.Entry, error) {
	switch s.next() {
	case late:
		s.rival()
		fallthrough
	case down:
		return kv.Entry{}, problem.New(problem.Unavailable, key, "down", "wait")
	}
	return s.Keyspace.Get(ctx, key)
}

func (s *scripted) Swap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	unsure := problem.New(problem.Unsure, key, "lost", "read it")
	switch s.next() {
	case down:
		return 0, problem.New(problem.Unavailable, key, "down", "wait")
	case held:
		return 0, unsure
	case lost:
		if _, err := s.Keyspace.Swap(ctx, key, expect, value); err != nil {
			return 0, err
		}
		return 0, unsure
	case rival:
		s.rival()
	}
	return s.Keyspace.Swap(ctx, key, expect, value)
}

// clock is moved by hand.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) Add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// tape holds a trace while it is recorded.
type tape struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (t *tape) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buf.Write(p)
}

// bytes returns the tape once it holds n lines.
func (t *tape) bytes(n int) []byte {
	for {
		t.mu.Lock()
		b := bytes.Clone(t.buf.Bytes())
		t.mu.Unlock()
		if bytes.Count(b, []byte("\n")) >= n {
			return b
		}
		time.Sleep(time.Millisecond)
	}
}
