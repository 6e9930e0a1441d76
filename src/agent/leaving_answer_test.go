package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/standin"
)

// A backend server that says in its answers that it is leaving must get no more calls, whatever its
// heartbeats say, and callers must be served by another one.
func TestServerLeavingInAnswers(t *testing.T) {
	c := qt.New(t)
	store := standin.NewRegistryStore()
	store.Put(testKeys.Config, []byte("1 /a/"))
	one, two := startVM(c, store.View(), "one", startBackend(c, "i-1")), startVM(c, store.View(), "two", startBackend(c, "i-2"))
	one.sendHeartbeat(c, 1, false)
	two.sendHeartbeat(c, 1, false)
	callsUntilServedBy := func(v *vm, want string) {
		eventually(c, "a call is served "+want, func() bool {
			_, body, err := v.call("/a/")
			return err == nil && body == want
		})
	}
	callsUntilServedBy(one, "by i-1")
	callsUntilServedBy(two, "by i-2")

	one.backend.leaving.Store(true)
	callsUntilServedBy(one, "by i-1")
	one.sendHeartbeat(c, 2, false) // was sent before the server began to leave
	time.Sleep(100 * time.Millisecond)
	before := one.backend.calls.Load()
	for range 20 {
		for _, v := range []*vm{one, two} {
			status, body, err := v.call("/a/")
			c.Assert(err, qt.IsNil)
			c.Check(status, qt.Equals, 200)
			c.Check(body, qt.Equals, "by i-2")
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Check(one.backend.calls.Load(), qt.Equals, before)
}
