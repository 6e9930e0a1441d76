package link

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// A member that dials is reported to OnPeer if it accepts links itself, also when it expected another member at this address, such as one that has ended.
func TestPoolOnPeer(t *testing.T) {
	tests := map[string]struct {
		expect  uint64 // member that the dialling end expects
		listens bool
		want    bool
	}{
		"expected member":         {expect: 2, listens: true, want: true},
		"another member expected": {expect: 3, listens: true, want: true},
		"does not accept links":   {expect: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			seen := make(chan Peer, 1)
			peer, _ := startPool(t, &Pool{Self: 2, OnPeer: func(p Peer) { seen <- p }})
			client := startClient(t)
			if tc.listens {
				client = &Pool{Self: 1}
				startPool(t, client)
			}
			peer.ID = tc.expect
			client.Call(testContext(t), peer, wire.CallHead{Target: peer.ID}, nil)
			if tc.want {
				// The dialling end may know the outcome of the handshake before the accepting one does.
				select {
				case p := <-seen:
					c.Assert(p.ID, qt.Equals, uint64(1))
				case <-testContext(t).Done():
					c.Fatal("the member was not reported")
				}
			}
			c.Assert(seen, qt.HasLen, 0)
		})
	}
}
