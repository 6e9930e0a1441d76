package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	bufferSize = 256 << 10              // bytes of lines that wait for their reader
	gatherTime = 20 * time.Millisecond  // for which lines are gathered into one write
	lastWrite  = 100 * time.Millisecond // for the lines that are left when the process ends
)

// Bounded writes lines in the background; lines beyond what its reader takes are left out and counted, and no caller ever waits.
type Bounded struct {
	W io.Writer

	once    sync.Once
	wake    chan struct{}
	idle    chan struct{} // holds a token while nothing is being written
	mu      sync.Mutex
	waiting []byte
	leftOut uint64
	total   uint64
}

func (b *Bounded) start() {
	b.once.Do(func() {
		b.wake, b.idle = make(chan struct{}, 1), make(chan struct{}, 1)
		b.idle <- struct{}{}
		go b.write()
	})
}

// Write takes a line.
func (b *Bounded) Write(line []byte) (int, error) {
	b.start()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting)+len(line) > bufferSize {
		b.leftOut++
		b.total++
		return len(line), nil
	}
	b.waiting = append(b.waiting, line...)
	if len(b.waiting) == len(line) {
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// LeftOut returns the number of lines left out so far.
func (b *Bounded) LeftOut() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Sync writes what is waiting, unless the reader does not take it soon.
func (b *Bounded) Sync() error {
	b.start()
	over := time.NewTimer(lastWrite)
	defer over.Stop()
	select {
	case <-b.idle:
	case <-over.C:
		return nil
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = b.W.Write(b.take())
		b.idle <- struct{}{}
	}()
	select {
	case <-done:
	case <-over.C:
	}
	return nil
}

func (b *Bounded) write() {
	for range b.wake {
		time.Sleep(gatherTime)
		<-b.idle
		_, _ = b.W.Write(b.take()) // where the log cannot be written, nobody can be told
		b.idle <- struct{}{}
	}
}

// take returns the waiting lines, and one that counts those left out.
func (b *Bounded) take() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines := b.waiting
	b.waiting = nil
	if b.leftOut > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"info\",\"time\":%q,\"msg\":\"log lines left out\",\"count\":%d}\n", time.Now().Format(time.RFC3339Nano), b.leftOut)
		b.leftOut = 0
	}
	return lines
}
