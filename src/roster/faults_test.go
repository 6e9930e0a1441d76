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

// TestMain fixes the seed of the property tests unless a flag gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "7")
	}
	os.Exit(m.Run())
}

const settleLimit = 90 * time.Second

// settled returns a network of hosts in three failure domains that know each other.
func settled(c *qt.C, seed uint64, size int) *network {
	n := newNetwork(seed)
	for i := range size {
		n.start(1000+i, i%3, true)
	}
	c.Assert(n.settle(settleLimit) >= 0, qt.IsTrue, qt.Commentf("%s", n.disagreement()))
	return n
}

func (n *network) mustSettle(c *qt.C, what string) {
	c.Helper()
	c.Assert(n.settle(settleLimit) >= 0, qt.IsTrue, qt.Commentf("%s: %s", what, n.disagreement()))
	n.run(20 * time.Second)
	c.Assert(n.disagreement()+n.stale(), qt.Equals, "", qt.Commentf("%s: later on", what))
}

func betweenDomains(d string) func(a, b *host) bool {
	return func(a, b *host) bool { return (a.core.Self.Domain == d) != (b.core.Self.Domain == d) }
}

func TestRosterUnderFaults(t *testing.T) {
	tests := map[string]func(c *qt.C, n *network){
		"killed": func(c *qt.C, n *network) {
			n.hosts[3].up = false
		},
		"left, first datagrams lost": func(c *qt.C, n *network) {
			n.loss = 1
			n.step(n.hosts[3], LeaveAsked{})
			n.loss = 0.2
			n.run(3 * time.Second)
			for _, h := range n.hosts {
				m := h.core.latest(n.hosts[3].core.Self.ID)
				c.Check(m.State, qt.Equals, wire.StateLeaving, qt.Commentf("%s", h.core.Self.Addr))
			}
			n.loss = 0
			n.step(n.hosts[3], StopAsked{})
			n.hosts[3].up = false
		},
		"replaced under the same address": func(c *qt.C, n *network) {
			n.hosts[3].up = false
			n.start(1003, 0, true)
		},
		"replaced by a VM whose clock is behind": func(c *qt.C, n *network) {
			n.hosts[3].up = false
			n.start(1003, 0, true).core.Self.StartedAt = -5000
		},
		"paused": func(c *qt.C, n *network) {
			n.hosts[3].paused = n.now.Add(30 * time.Second)
			n.run(30 * time.Second)
		},
		"most paused at once": func(c *qt.C, n *network) {
			for _, h := range n.hosts[2:] {
				h.paused = n.now.Add(20 * time.Second)
			}
			n.run(20 * time.Second)
		},
		"failure domain cut off for an hour": func(c *qt.C, n *network) {
			n.cut = betweenDomains("domain-1")
			n.run(30 * time.Minute)
			n.hosts[1].up = false
			n.start(2000, 1, true)
			n.hosts[2].up = false
			n.start(2001, 2, true)
			n.run(30 * time.Minute)
			n.cut = func(_, _ *host) bool { return false }
		},
		"failure domain cut off with the store down": func(c *qt.C, n *network) {
			n.cut = betweenDomains("domain-1")
			n.storeOut = true
			n.run(10 * time.Minute)
			n.cut = func(_, _ *host) bool { return false }
		},
		"herd restarts with the store down": func(c *qt.C, n *network) {
			n.storeOut = true
			for _, h := range n.hosts[2:] {
				h.up = false
			}
			n.run(5 * time.Second)
			for i := range n.hosts[2:] {
				n.start(3000+i, i%3, false)
			}
		},
		"all restart at other addresses": func(c *qt.C, n *network) {
			for _, h := range n.hosts {
				h.up = false
			}
			n.run(5 * time.Second)
			for i := range 12 {
				n.start(3000+i, i%3, true)
			}
		},
		"a fifth of the datagrams lost, a tenth late": func(c *qt.C, n *network) {
			n.loss, n.late = 0.2, 0.1
			n.hosts[3].up = false
			n.run(30 * time.Second)
			n.loss = 0
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			n := settled(c, 1, 12)
			fault(c, n)
			n.mustSettle(c, name)
		})
	}
}

// fault is one step of a random schedule.
type fault struct {
	Kind string
	Host int
	Wait time.Duration
}

func TestRandomFaultsHeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(4, 14).Draw(t, "size")
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		n.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		n.late = rapid.Float64Range(0, 0.2).Draw(t, "late")
		for i := range size {
			n.start(1000+i, i%3, true)
		}
		kinds := []string{"kill", "replace", "pause", "cut", "heal", "leave", "store_out", "store_back", "start"}
		steps := rapid.IntRange(1, 12).Draw(t, "steps")
		for i := range steps {
			f := fault{
				Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
				Host: rapid.IntRange(0, size-1).Draw(t, "host"),
				Wait: time.Duration(rapid.IntRange(0, 40).Draw(t, "wait")) * time.Second,
			}
			n.bring(f, 2000+i)
			n.run(f.Wait)
		}
		n.loss, n.late, n.storeOut = 0.02, 0.02, false
		n.cut = func(_, _ *host) bool { return false }
		if n.settle(4*time.Minute) < 0 {
			t.Fatalf("not settled: %s%s", n.disagreement(), n.stale())
		}
		n.run(30 * time.Second)
		if d := n.disagreement(); d != "" {
			t.Fatalf("later on: %s", d)
		}
		if n.settle(10*time.Second) < 0 {
			t.Fatalf("states do not settle: %s%s", n.disagreement(), n.stale())
		}
	})
}

func (n *network) bring(f fault, port int) {
	h := n.hosts[f.Host]
	switch f.Kind {
	case "kill":
		h.up = false
	case "replace":
		if now := n.at(h.core.Self.Addr); now != nil {
			now.up = false
		}
		n.start(int(h.core.Self.Addr.Port()), f.Host%3, true)
	case "pause":
		h.paused = n.now.Add(f.Wait + time.Duration(f.Host)*time.Second)
	case "cut":
		n.cut = betweenDomains(fmt.Sprintf("domain-%d", f.Host%3))
	case "heal":
		n.cut = func(_, _ *host) bool { return false }
	case "leave":
		if h.up {
			n.step(h, LeaveAsked{})
			n.step(h, StopAsked{})
			h.up = false
		}
	case "store_out":
		n.storeOut = true
	case "store_back":
		n.storeOut = false
	case "start":
		n.start(port, f.Host%3, true)
	}
}
