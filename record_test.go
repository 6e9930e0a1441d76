package main_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRecordedRunReplays records a daemon while the other one dies, and replays every core.
func TestRecordedRunReplays(t *testing.T) {
	c := qt.New(t)
	m := newMesh(c)
	other := m.start("bookings", "mid-b", time.Millisecond)
	m.Record = filepath.Join(c.TempDir(), "run")
	p := m.start("bookings", "mid-a", time.Millisecond)
	awaitReady(c, 2, p, other)
	for i := range 4 {
		p.call("GET", "bookings.example", "/diary/today", fmt.Sprint("read-", i), "")
		p.call("POST", "bookings.example", "/deposits", fmt.Sprint("pay-", i), fmt.Sprint("key-", i))
	}
	other.signal(syscall.SIGKILL)
	p.call("GET", "bookings.example", "/diary/today", "after", "")
	p.signal(syscall.SIGTERM)
	c.Assert(p.wait(), qt.IsNil)
	files, err := filepath.Glob(m.Record + ".*.jsonl")
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.HasLen, 5)
	out, err := exec.Command(build(c), append([]string{"replay"}, files...)...).CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
}
