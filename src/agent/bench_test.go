package agent_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/standin"
)

// BenchmarkCall sends calls through one agent to the backend servers of two agents.
func BenchmarkCall(b *testing.B) {
	c := qt.New(b)
	store := standin.NewRegistryStore()
	store.Put(testKeys.Config, []byte("1 /a/"))
	one, two := startVM(c, store.View(), "one", startBackend(c, "i-1")), startVM(c, store.View(), "two", startBackend(c, "i-2"))
	one.sendHeartbeat(c, 1, false)
	two.sendHeartbeat(c, 1, false)
	eventually(c, "the call is served", one.servedFunc("/a/"))
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := one.call("/a/"); err != nil {
			b.Fatal(err)
		}
	}
}
