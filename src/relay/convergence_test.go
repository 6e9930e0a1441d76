package relay

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/yuccaport/yuccaport/src/settings"
)

const (
	testNodeCount       = 36
	testConvergenceTime = 3 * time.Second  // limit until an accepted version is in force on all daemons
	testStartTime       = 12 * time.Second // for all daemons to start
)

func TestMain(m *testing.M) {
	flag.Parse()
	// Fixed for reproducible runs; they override the command line.
	_ = flag.Set("rapid.seed", "4")
	_ = flag.Set("rapid.checks", "40")
	os.Exit(m.Run())
}

// newStartedNetwork returns a network whose daemons all have version 2 in force.
func newStartedNetwork(t *testing.T, profile settings.Profile) *network {
	net := newNetwork(t.Fatalf, 1, profile)
	net.edit("bookings", 0)
	net.edit("jobrecords", 0)
	net.addNodes(testNodeCount)
	net.advance(testStartTime)
	qt.Assert(t, net.nodesNotAt(2), qt.HasLen, 0)
	return net
}

// assertInForce checks that a version is in force on all live daemons within testConvergenceTime.
func (net *network) assertInForce(t *testing.T, version uint64) {
	t.Helper()
	net.advance(testConvergenceTime)
	qt.Assert(t, net.nodesNotAt(version), qt.HasLen, 0, qt.Commentf("version %d", version))
}

// TestPushTree checks that a new version takes one push for each daemon but the first reader of each failure domain, and that idle daemons make few store calls.
func TestPushTree(t *testing.T) {
	for _, profile := range []settings.Profile{settings.ProfileFast, settings.ProfileThrifty} {
		t.Run(string(profile), func(t *testing.T) {
			c := qt.New(t)
			net := newStartedNetwork(t, profile)
			c.Assert(net.readers(), qt.HasLen, 3*TuningOf(profile).ReadersPerDomain)
			net.advance(time.Minute)
			net.pushes, net.storeCalls = 0, 0
			net.assertInForce(t, net.edit("bookings", 1))
			c.Assert(net.pushes, qt.Equals, testNodeCount-3) // one for each daemon but the first reader of each domain
			net.storeCalls = 0
			net.advance(time.Minute)
			c.Logf("store calls per second of %d idle daemons in 3 failure domains: %.1f", testNodeCount, float64(net.storeCalls)/60)
			c.Assert(net.storeCalls < 60*6, qt.IsTrue)
		})
	}
}

// networkFaults are injected before an edit.
var networkFaults = map[string]func(c *qt.C, net *network){
	"one reader dies": func(_ *qt.C, net *network) {
		for _, n := range net.readers()[:min(1, len(net.readers()))] {
			n.kill()
		}
	},
	"all readers have died": func(_ *qt.C, net *network) {
		for _, n := range net.readers() {
			n.kill()
		}
		net.advance(testDetectionTime)
	},
	"store unreachable from one failure domain": func(_ *qt.C, net *network) {
		net.storeUnreachable = func(n *node) bool { return n.domain == "domain-1" }
		net.advance(testStartTime)
	},
	"watches time out":    func(_ *qt.C, net *network) { net.watchesTimeOut = true },
	"messages lost":       func(_ *qt.C, net *network) { net.lossRate = 0.2 },
	"messages duplicated": func(_ *qt.C, net *network) { net.duplicateRate = 0.5 },
	"store was down for ten minutes": func(c *qt.C, net *network) {
		net.storeDown = true
		net.advance(5 * time.Minute)
		net.storeCalls = 0
		net.advance(5 * time.Minute)
		c.Assert(net.storeCalls < 6*5*60*2, qt.IsTrue, qt.Commentf("%d calls", net.storeCalls)) // 6 readers, 300 s, 2 calls per second of each
		net.storeDown = false
	},
	"three of ten daemons die": func(_ *qt.C, net *network) {
		for i, n := range net.nodes {
			if i%10 < 3 {
				n.kill()
			}
		}
	},
}

// TestConvergenceUnderFaults injects each fault and each pair of faults, and checks that all live daemons converge.
func TestConvergenceUnderFaults(t *testing.T) {
	names := slices.Sorted(maps.Keys(networkFaults))
	for _, profile := range []settings.Profile{settings.ProfileFast, settings.ProfileThrifty} {
		for i, first := range names {
			for _, second := range names[i:] {
				t.Run(fmt.Sprintf("%s/%s/%s", profile, first, second), func(t *testing.T) {
					net := newStartedNetwork(t, profile)
					networkFaults[first](qt.New(t), net)
					if second != first {
						networkFaults[second](qt.New(t), net)
					}
					net.assertInForce(t, net.edit("bookings", 1))
					net.assertInForce(t, net.edit("jobrecords", 2))
				})
			}
		}
	}
}

// TestConvergenceRandomFaults checks the invariants after every step of random fault schedules, and that all daemons converge after the faults end.
func TestConvergenceRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		profile := rapid.SampledFrom([]settings.Profile{settings.ProfileFast, settings.ProfileThrifty}).Draw(t, "profile")
		net := newNetwork(t.Fatalf, rapid.Uint64().Draw(t, "seed"), profile)
		net.edit("bookings", 0)
		net.addNodes(15)
		net.advance(testStartTime)
		var paused []*node
		pick := func() *node { return net.nodes[rapid.IntRange(0, len(net.nodes)-1).Draw(t, "node")] }
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0, 1:
				net.edit(rapid.SampledFrom([]string{"bookings", "jobrecords"}).Draw(t, "service"), rapid.IntRange(0, 5).Draw(t, "content"))
			case 2:
				net.lossRate = rapid.SampledFrom([]float64{0, 0.3, 0.9}).Draw(t, "loss")
			case 3:
				net.duplicateRate = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "repeat")
			case 4:
				net.storeDown = !net.storeDown
			case 5:
				net.watchesTimeOut = !net.watchesTimeOut
			case 6:
				n := pick()
				n.pause()
				paused = append(paused, n)
			case 7:
				for _, n := range paused {
					n.resume()
				}
				paused = nil
			case 8:
				if n := pick(); n.alive && !n.paused {
					n.kill()
					net.addNode(n.vm, n.domain)
				}
			case 9:
				net.setPartition(rapid.SampledFrom([]string{"", "domain-0", "domain-1"}).Draw(t, "isolated"), rapid.Bool().Draw(t, "from the store"))
			}
			net.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond)
		}
		net.lossRate, net.duplicateRate, net.storeDown, net.watchesTimeOut = 0, 0, false, false
		net.setPartition("", false)
		for _, n := range paused {
			n.resume()
		}
		net.advance(4 * testStartTime)
		version := net.edit("bookings", 1000)
		net.advance(testConvergenceTime)
		if b := net.nodesNotAt(version); len(b) > 0 {
			t.Fatalf("version %d is not in force on all daemons: %v", version, b)
		}
	})
}
