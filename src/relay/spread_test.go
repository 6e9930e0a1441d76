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
	testMembers = 36
	testBound   = 3 * time.Second // until an accepted version is in force everywhere
	testStart   = 12 * time.Second
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "4")
	_ = flag.Set("rapid.checks", "40")
	os.Exit(m.Run())
}

// started returns a network whose daemons have all taken the first version.
func started(t *testing.T, profile settings.Profile) *network {
	w := newNetwork(t.Fatalf, 1, profile)
	w.edit("bookings", 0)
	w.edit("jobrecords", 0)
	w.fill(testMembers)
	w.run(testStart)
	qt.Assert(t, w.behind(2), qt.HasLen, 0)
	return w
}

func (w *network) assertInForce(t *testing.T, version uint64) {
	t.Helper()
	w.run(testBound)
	qt.Assert(t, w.behind(version), qt.HasLen, 0, qt.Commentf("version %d", version))
}

func TestSpread(t *testing.T) {
	for _, profile := range []settings.Profile{settings.ProfileFast, settings.ProfileThrifty} {
		t.Run(string(profile), func(t *testing.T) {
			c := qt.New(t)
			w := started(t, profile)
			c.Assert(w.readers(), qt.HasLen, 3*TuningOf(profile).ReadersPerDomain)
			w.run(time.Minute)
			w.pushes, w.calls = 0, 0
			w.assertInForce(t, w.edit("bookings", 1))
			c.Assert(w.pushes, qt.Equals, testMembers-3) // each daemon but the first reader of a domain receives it once
			w.calls = 0
			w.run(time.Minute)
			c.Logf("store calls a second with %d daemons in 3 failure domains, no change: %.1f", testMembers, float64(w.calls)/60)
			c.Assert(w.calls < 60*6, qt.IsTrue)
		})
	}
}

// spreadFaults are brought about before an edit.
var spreadFaults = map[string]func(c *qt.C, w *network){
	"reader of a domain dies": func(_ *qt.C, w *network) {
		for _, n := range w.readers()[:min(1, len(w.readers()))] {
			n.kill()
		}
	},
	"all readers have died": func(_ *qt.C, w *network) {
		for _, n := range w.readers() {
			n.kill()
		}
		w.run(testDetect)
	},
	"store cut from one domain": func(_ *qt.C, w *network) {
		w.cutStore = func(n *node) bool { return n.domain == "domain-1" }
		w.run(testStart)
	},
	"watches stay silent":   func(_ *qt.C, w *network) { w.silent = true },
	"messages lost":         func(_ *qt.C, w *network) { w.loss = 0.2 },
	"messages arrive twice": func(_ *qt.C, w *network) { w.repeat = 0.5 },
	"store down for ten minutes before the edit": func(c *qt.C, w *network) {
		w.down = true
		w.run(5 * time.Minute)
		w.calls = 0
		w.run(5 * time.Minute)
		c.Assert(w.calls < 6*5*60*2, qt.IsTrue, qt.Commentf("%d calls", w.calls)) // readers, seconds, calls a second of each
		w.down = false
	},
	"three of ten die": func(_ *qt.C, w *network) {
		for i, n := range w.nodes {
			if i%10 < 3 {
				n.kill()
			}
		}
	},
}

// TestSpreadUnderFaults brings about each fault and each pair of faults.
func TestSpreadUnderFaults(t *testing.T) {
	names := slices.Sorted(maps.Keys(spreadFaults))
	for _, profile := range []settings.Profile{settings.ProfileFast, settings.ProfileThrifty} {
		for i, first := range names {
			for _, second := range names[i:] {
				t.Run(fmt.Sprintf("%s/%s/%s", profile, first, second), func(t *testing.T) {
					w := started(t, profile)
					spreadFaults[first](qt.New(t), w)
					if second != first {
						spreadFaults[second](qt.New(t), w)
					}
					w.assertInForce(t, w.edit("bookings", 1))
					w.assertInForce(t, w.edit("jobrecords", 2))
				})
			}
		}
	}
}

// TestRandomFaults checks the promises after every step of random schedules, and that all daemons converge once the faults are over.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		profile := rapid.SampledFrom([]settings.Profile{settings.ProfileFast, settings.ProfileThrifty}).Draw(t, "profile")
		w := newNetwork(t.Fatalf, rapid.Uint64().Draw(t, "seed"), profile)
		w.edit("bookings", 0)
		w.fill(15)
		w.run(testStart)
		var paused []*node
		pick := func() *node { return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")] }
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0, 1:
				w.edit(rapid.SampledFrom([]string{"bookings", "jobrecords"}).Draw(t, "service"), rapid.IntRange(0, 5).Draw(t, "content"))
			case 2:
				w.loss = rapid.SampledFrom([]float64{0, 0.3, 0.9}).Draw(t, "loss")
			case 3:
				w.repeat = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "repeat")
			case 4:
				w.down = !w.down
			case 5:
				w.silent = !w.silent
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
					w.add(n.vm, n.domain)
				}
			case 9:
				w.isolate(rapid.SampledFrom([]string{"", "domain-0", "domain-1"}).Draw(t, "isolated"), rapid.Bool().Draw(t, "from the store"))
			}
			w.run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond)
		}
		w.loss, w.repeat, w.down, w.silent = 0, 0, false, false
		w.isolate("", false)
		for _, n := range paused {
			n.resume()
		}
		w.run(4 * testStart)
		version := w.edit("bookings", 1000)
		w.run(testBound)
		if b := w.behind(version); len(b) > 0 {
			t.Fatalf("version %d is not in force: %v", version, b)
		}
	})
}
