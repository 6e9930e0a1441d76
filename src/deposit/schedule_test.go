package deposit

import (
	"flag"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const maxSteps = 200 // of one schedule, before it is run to its end without faults

// sharedSlotKeys are idempotency keys whose claims are in the same slot.
var sharedSlotKeys = []string{"k", "k70875"}

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

// runSchedule runs a simulation to its end and returns the first failed check, empty if there is none.
func runSchedule(s *simulation) string {
	for n := 0; n < maxSteps && s.step(); n++ {
	}
	if s.failure == "" {
		s.runToEnd()
	}
	for _, key := range sharedSlotKeys {
		if s.failure == "" {
			s.checkRepeat(key)
		}
	}
	return s.failure
}

// TestRandomSchedules checks that no key runs twice within its expiry in random schedules of requests, store faults, crashes and time jumps.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		s := newSimulation(rapid.IntRange(2, 3).Draw(t, "holders"), rapid.IntRange(0, 8).Draw(t, "faults"), choose)
		for range rapid.IntRange(2, 4).Draw(t, "requests") {
			s.addRequest(s.holders[choose(len(s.holders), "holder")], sharedSlotKeys[choose(len(sharedSlotKeys), "key")])
		}
		if failure := runSchedule(s); failure != "" {
			t.Fatal(failure)
		}
	})
}

// choiceSequence enumerates every sequence of choices in depth-first order.
type choiceSequence struct {
	choices, options []int // the option chosen at each position, and the number of options there
	position         int
}

func (cs *choiceSequence) choose(n int, _ string) int {
	if cs.position == len(cs.choices) {
		cs.choices = append(cs.choices, 0)
		cs.options = append(cs.options, n)
	}
	cs.position++
	return cs.choices[cs.position-1]
}

// next advances to the next sequence and reports whether there is one.
func (cs *choiceSequence) next() bool {
	cs.position = 0
	for n := len(cs.choices) - 1; n >= 0; n-- {
		if cs.choices[n]+1 < cs.options[n] {
			cs.choices[n]++
			cs.choices = cs.choices[:n+1]
			cs.options = cs.options[:n+1]
			return true
		}
	}
	return false
}

// TestExhaustiveSchedules checks that a key runs at most once within its expiry in every schedule of two requests with up to two faults.
func TestExhaustiveSchedules(t *testing.T) {
	tests := map[string]struct{ first, faults int }{
		"no fault":                        {first: 0, faults: 0},
		"first begins, up to two faults":  {first: 0, faults: 2},
		"second begins, up to two faults": {first: 1, faults: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			cs := &choiceSequence{choices: []int{tc.first}, options: []int{2}}
			schedules := 0
			for more := true; more && cs.choices[0] == tc.first; more = cs.next() {
				s := newSimulation(2, tc.faults, cs.choose)
				s.addRequest(s.holders[0], sharedSlotKeys[0])
				s.addRequest(s.holders[1], sharedSlotKeys[0])
				schedules++
				if failure := runSchedule(s); failure != "" {
					c.Fatalf("schedule %d %v: %s", schedules, cs.choices, failure)
				}
			}
			t.Logf("%d schedules", schedules)
		})
	}
}
