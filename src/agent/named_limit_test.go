package agent_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/standin"
)

// A restarted agent must keep to a limit that its backend server named to the one before it,
// already with its first calls.
func TestNamedLimitAfterAgentRestart(t *testing.T) {
	c := qt.New(t)
	b := startBackend(c, "i-1")
	b.limit.Store(2)
	store := standin.NewRegistryStore()
	v := startVM(c, store.View(), "one", b)
	v.sendHeartbeat(c, 15, false) // of a backend server that is older than the agent
	store.Put(testKeys.Config, []byte("1 /a/"))
	eventually(c, "the agent is ready", v.IsReady)
	time.Sleep(50 * time.Millisecond)
	b.serviceTime.Store(int64(100 * time.Millisecond))
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() { _, _, _ = v.call("/a/") })
	}
	time.Sleep(400 * time.Millisecond)
	n := b.calls.Load()
	c.Check(n <= 1, qt.IsTrue, qt.Commentf("%d calls in 0.4 s at a limit of 2 a second", n))
	wg.Wait()
}
