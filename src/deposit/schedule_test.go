package deposit

import (
	"flag"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const maxSteps = 200

// keys are idempotency keys whose claims share a slot.
var keys = []string{"k", "k70875"}

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20000")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// play runs a schedule to its end and returns what went wrong.
func play(w *world) string {
	for n := 0; n < maxSteps && w.step(); n++ {
	}
	if w.failure == "" {
		w.finish()
	}
	for _, key := range keys {
		if w.failure == "" {
			w.probe(key)
		}
	}
	return w.failure
}

func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		w := newWorld(rapid.IntRange(2, 3).Draw(t, "holders"), rapid.IntRange(0, 8).Draw(t, "faults"), choose)
		for range rapid.IntRange(2, 4).Draw(t, "requests") {
			w.request(w.holders[choose(len(w.holders), "holder")], keys[choose(len(keys), "key")])
		}
		if failure := play(w); failure != "" {
			t.Fatal(failure)
		}
	})
}

// path enumerates every sequence of choices.
type path struct {
	taken, width []int
	at           int
}

func (p *path) choose(n int, _ string) int {
	if p.at == len(p.taken) {
		p.taken = append(p.taken, 0)
		p.width = append(p.width, n)
	}
	p.at++
	return p.taken[p.at-1]
}

// next moves on to the next sequence and is false after the last.
func (p *path) next() bool {
	p.at = 0
	for n := len(p.taken) - 1; n >= 0; n-- {
		if p.taken[n]+1 < p.width[n] {
			p.taken[n]++
			p.taken = p.taken[:n+1]
			p.width = p.width[:n+1]
			return true
		}
	}
	return false
}

func TestEverySchedule(t *testing.T) {
	tests := map[string]struct{ first, faults int }{
		"no fault":                        {first: 0, faults: 0},
		"first begins, up to two faults":  {first: 0, faults: 2},
		"second begins, up to two faults": {first: 1, faults: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			p := &path{taken: []int{tc.first}, width: []int{2}}
			n := 0
			for more := true; more && p.taken[0] == tc.first; more = p.next() {
				w := newWorld(2, tc.faults, p.choose)
				w.request(w.holders[0], keys[0])
				w.request(w.holders[1], keys[0])
				n++
				if failure := play(w); failure != "" {
					c.Fatalf("schedule %d %v: %s", n, p.taken, failure)
				}
			}
			t.Logf("%d schedules", n)
		})
	}
}
