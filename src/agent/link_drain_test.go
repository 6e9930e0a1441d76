package agent_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/agent"
	"github.com/yuccaport/yuccaport/src/standin"
)

// Calls that have reached a stopping agent over a slow link must end whole, and the agent must then
// end without waiting for the end of its grace period.
func TestStopDrainsSlowLinks(t *testing.T) {
	const size = 1e6
	tests := map[string]struct {
		mbps           float64
		calls          int
		upload, answer int
	}{
		"downloads over 25 Mbit/s": {mbps: 25, calls: 4, answer: size},
		"download over 5 Mbit/s":   {mbps: 5, calls: 1, answer: size},
		"upload over 5 Mbit/s":     {mbps: 5, calls: 1, upload: size},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			store := standin.NewRegistryStore()
			store.Put(testKeys.Config, []byte("1 /a/"))
			slow := func(a *agent.Agent) { a.Settings.LinkMbps = test.mbps }
			one := startVM(c, store.View(), "one", startBackend(c, "i-1"), slow, func(a *agent.Agent) { a.Settings.Service = "front" })
			two := startVM(c, store.View(), "two", startBackend(c, "i-2"), slow)
			two.sendHeartbeat(c, 1, false)
			eventually(c, "the call is served", one.servedFunc("/a/"))
			two.backend.answerSize.Store(int64(test.answer))
			signal := time.Now()
			two.cancel()
			time.Sleep(1700 * time.Millisecond)
			var wg sync.WaitGroup
			for range test.calls {
				wg.Go(func() {
					status, body, err := one.post("/a/", make([]byte, test.upload+1))
					c.Check(err, qt.IsNil)
					c.Check(status, qt.Equals, 200)
					c.Check(len(body) >= test.answer, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
				})
			}
			wg.Wait()
			answered := time.Since(signal)
			err := <-two.done
			two.done <- err // for the cleanup of startVM
			ended := time.Since(signal)
			c.Check(answered > 2800*time.Millisecond, qt.IsTrue, qt.Commentf("answered after %s", answered))
			c.Check(ended < max(answered, 2200*time.Millisecond)+500*time.Millisecond, qt.IsTrue, qt.Commentf("answered after %s, ended after %s", answered, ended))
		})
	}
}
