package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/logs"
)

// reader is a log's reader that can stop reading.
type reader struct {
	mu   sync.Mutex
	buf  bytes.Buffer
	stop chan struct{} // closed when it reads again, nil when it reads
}

func (r *reader) Write(p []byte) (int, error) {
	if r.stop != nil {
		<-r.stop
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.Write(p)
}

func (r *reader) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.String()
}

func TestBoundedWritesLines(t *testing.T) {
	r := &reader{}
	b := &logs.Bounded{W: r}
	log := logs.New(b, logs.FormatJSON, 0)
	log.Info("one")
	log.Info("two")
	qt.Assert(t, b.Sync(), qt.IsNil)
	qt.Assert(t, strings.Count(r.String(), "\n"), qt.Equals, 2)
}

func TestBoundedNeverWaitsForItsReader(t *testing.T) {
	r := &reader{stop: make(chan struct{})}
	b := &logs.Bounded{W: r}
	line := []byte(strings.Repeat("x", 999) + "\n")
	began := time.Now()
	for range 10_000 {
		_, err := b.Write(line)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, b.Sync(), qt.IsNil)
	qt.Assert(t, time.Since(began) < 2*time.Second, qt.IsTrue)
	qt.Assert(t, b.LeftOut() > 9000, qt.IsTrue)
	close(r.stop)
	for end := time.Now().Add(5 * time.Second); !strings.Contains(r.String(), "log lines left out"); {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
		time.Sleep(time.Millisecond)
	}
}
