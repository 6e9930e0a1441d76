package roster

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/yuccaport/yuccaport/src/wire"
)

// TestMain fixes the seed of the property tests unless -rapid.seed sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "7")
	}
	os.Exit(m.Run())
}

const settleLimit = 90 * time.Second // of simulated time, for all hosts to agree

// newSettledNetwork returns a network of hosts in three failure domains that agree on the members and their states.
func newSettledNetwork(c *qt.C, seed uint64, size int) *simNetwork {
	n := newSimNetwork(seed)
	for i := range size {
		n.start(1000+i, i%3, true)
	}
	c.Assert(n.settle(settleLimit) >= 0, qt.IsTrue, qt.Commentf("%s", n.memberMismatch()))
	return n
}

// mustSettle requires that all hosts agree within settleLimit, and still do 20 seconds later.
func (n *simNetwork) mustSettle(c *qt.C, step string) {
	c.Helper()
	c.Assert(n.settle(settleLimit) >= 0, qt.IsTrue, qt.Commentf("%s: %s", step, n.memberMismatch()))
	n.run(20 * time.Second)
	c.Assert(n.memberMismatch()+n.digestMismatch(), qt.Equals, "", qt.Commentf("%s: no longer settled after 20 seconds", step))
}

// isolateDomain partitions a failure domain from all others.
func isolateDomain(domain string) func(a, b *simHost) bool {
	return func(a, b *simHost) bool { return (a.core.Self.Domain == domain) != (b.core.Self.Domain == domain) }
}

// TestFaultRecovery checks that the hosts agree again on who is up after each fault.
func TestFaultRecovery(t *testing.T) {
	tests := map[string]func(c *qt.C, n *simNetwork){
		"killed": func(c *qt.C, n *simNetwork) {
			n.hosts[3].up = false
		},
		"left, first datagrams lost": func(c *qt.C, n *simNetwork) {
			n.lossShare = 1
			n.step(n.hosts[3], LeaveAsked{})
			n.lossShare = 0.2
			n.run(3 * time.Second)
			for _, h := range n.hosts {
				m := h.core.findMember(n.hosts[3].core.Self.ID)
				c.Check(m.State, qt.Equals, wire.StateLeaving, qt.Commentf("%s", h.core.Self.Addr))
			}
			n.lossShare = 0
			n.step(n.hosts[3], StopAsked{})
			n.hosts[3].up = false
		},
		"replaced under the same address": func(c *qt.C, n *simNetwork) {
			n.hosts[3].up = false
			n.start(1003, 0, true)
		},
		"replaced by a VM whose clock is behind": func(c *qt.C, n *simNetwork) {
			n.hosts[3].up = false
			n.start(1003, 0, true).core.Self.StartedAt = -5000
		},
		"paused": func(c *qt.C, n *simNetwork) {
			n.hosts[3].pausedUntil = n.now.Add(30 * time.Second)
			n.run(30 * time.Second)
		},
		"most paused at once": func(c *qt.C, n *simNetwork) {
			for _, h := range n.hosts[2:] {
				h.pausedUntil = n.now.Add(20 * time.Second)
			}
			n.run(20 * time.Second)
		},
		"failure domain partitioned for an hour": func(c *qt.C, n *simNetwork) {
			n.partitioned = isolateDomain("domain-1")
			n.run(30 * time.Minute)
			n.hosts[1].up = false
			n.start(2000, 1, true)
			n.hosts[2].up = false
			n.start(2001, 2, true)
			n.run(30 * time.Minute)
			n.partitioned = func(_, _ *simHost) bool { return false }
		},
		"failure domain partitioned with the store down": func(c *qt.C, n *simNetwork) {
			n.partitioned = isolateDomain("domain-1")
			n.storeDown = true
			n.run(10 * time.Minute)
			n.partitioned = func(_, _ *simHost) bool { return false }
		},
		"most hosts restart at once with the store down": func(c *qt.C, n *simNetwork) {
			n.storeDown = true
			for _, h := range n.hosts[2:] {
				h.up = false
			}
			n.run(5 * time.Second)
			for i := range n.hosts[2:] {
				n.start(3000+i, i%3, false)
			}
		},
		"all restart at other addresses": func(c *qt.C, n *simNetwork) {
			for _, h := range n.hosts {
				h.up = false
			}
			n.run(5 * time.Second)
			for i := range 12 {
				n.start(3000+i, i%3, true)
			}
		},
		"a fifth of the datagrams lost, a tenth delayed": func(c *qt.C, n *simNetwork) {
			n.lossShare, n.delayedShare = 0.2, 0.1
			n.hosts[3].up = false
			n.run(30 * time.Second)
			n.lossShare = 0
		},
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n := newSettledNetwork(c, 1, 12)
			injectFault(c, n)
			n.mustSettle(c, name)
		})
	}
}

// fault is one step of a random fault schedule.
type fault struct {
	Kind string
	Host int
	Wait time.Duration
}

// TestRandomFaultRecovery checks that the hosts agree again after any schedule of faults, and stay so.
func TestRandomFaultRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(4, 14).Draw(t, "size")
		n := newSimNetwork(rapid.Uint64().Draw(t, "seed"))
		n.lossShare = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		n.delayedShare = rapid.Float64Range(0, 0.2).Draw(t, "late")
		for i := range size {
			n.start(1000+i, i%3, true)
		}
		kinds := []string{"kill", "replace", "pause", "partition", "heal", "leave", "store_down", "store_up", "start"}
		steps := rapid.IntRange(1, 12).Draw(t, "steps")
		for i := range steps {
			f := fault{
				Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
				Host: rapid.IntRange(0, size-1).Draw(t, "host"),
				Wait: time.Duration(rapid.IntRange(0, 40).Draw(t, "wait")) * time.Second,
			}
			n.inject(f, 2000+i)
			n.run(f.Wait)
		}
		n.lossShare, n.delayedShare, n.storeDown = 0.02, 0.02, false
		n.partitioned = func(_, _ *simHost) bool { return false }
		if n.settle(4*time.Minute) < 0 {
			t.Fatalf("not settled: %s%s", n.memberMismatch(), n.digestMismatch())
		}
		n.run(30 * time.Second)
		if d := n.memberMismatch(); d != "" {
			t.Fatalf("no longer settled: %s", d)
		}
		if n.settle(10*time.Second) < 0 {
			t.Fatalf("states differ: %s%s", n.memberMismatch(), n.digestMismatch())
		}
	})
}

// inject applies a fault; port is that of a host started by "start".
func (n *simNetwork) inject(f fault, port int) {
	h := n.hosts[f.Host]
	switch f.Kind {
	case "kill":
		h.up = false
	case "replace":
		if current := n.hostAt(h.core.Self.Addr); current != nil {
			current.up = false
		}
		n.start(int(h.core.Self.Addr.Port()), f.Host%3, true)
	case "pause":
		h.pausedUntil = n.now.Add(f.Wait + time.Duration(f.Host)*time.Second)
	case "partition":
		n.partitioned = isolateDomain(fmt.Sprintf("domain-%d", f.Host%3))
	case "heal":
		n.partitioned = func(_, _ *simHost) bool { return false }
	case "leave":
		if h.up {
			n.step(h, LeaveAsked{})
			n.step(h, StopAsked{})
			h.up = false
		}
	case "store_down":
		n.storeDown = true
	case "store_up":
		n.storeDown = false
	case "start":
		n.start(port, f.Host%3, true)
	}
}
