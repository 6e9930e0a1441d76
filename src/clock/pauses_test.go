package clock

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPausesWithoutASuspension(t *testing.T) {
	var p Pauses
	for range 100 {
		qt.Assert(t, p.Since() < time.Millisecond, qt.IsTrue, qt.Commentf("only the time between two readings"))
	}
}

// A time by NowWithSuspension must go on while the VM is suspended: permits by a clock that stands
// still would hold after it.
func TestNowWithSuspension(t *testing.T) {
	before := NowWithSuspension()
	aheadAtStart -= 3 * time.Second // as if the VM had been suspended
	defer func() { aheadAtStart += 3 * time.Second }()
	qt.Assert(t, NowWithSuspension().Sub(before) >= 3*time.Second-time.Millisecond, qt.IsTrue)
}

func TestASuspensionIsToldOnce(t *testing.T) {
	var p Pauses
	p.Since()
	p.ahead -= 3 * time.Second // as if the clock that counts suspension had gone on
	qt.Assert(t, p.Since() > 3*time.Second-time.Millisecond, qt.IsTrue, qt.Commentf("the two readings are not at the same moment"))
	qt.Assert(t, p.Since() < time.Millisecond, qt.IsTrue)
}
