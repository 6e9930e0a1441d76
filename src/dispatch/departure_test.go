package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/yuccaport/yuccaport/src/wire"
)

const departureTime = 3 * time.Second

// departures is a core with one server, which refuses calls as leaving or replaced.
type departures struct {
	sim  *simulation
	now  time.Time
	call uint64
}

func newDepartures() *departures {
	d := &departures{sim: newSimulation(Settings{DepartureTime: departureTime}, fakeServers(1, 0)...), now: time.Unix(1000, 0)}
	d.announce(900, true)
	return d
}

// announce shows a table in which the server has started at a time.
func (d *departures) announce(startedAt int64, ready bool) {
	srv := d.sim.servers[1]
	srv.StartedAt, srv.Ready = time.Unix(startedAt, 0), ready
	d.sim.updateTable()
}

// sends reports whether a call is sent to the server, with what follows it there.
func (d *departures) sends(idempotent bool, then func(call uint64) Event) bool {
	d.call++
	p := *d.sim.policy
	p.Idempotent = idempotent
	out := d.sim.core.Step(d.now, CallArrived{Call: d.call, Policy: &p, Remaining: time.Second})
	if _, refused := out[0].(RefuseCall); refused {
		return false
	}
	if then != nil {
		d.sim.core.Step(d.now, then(d.call))
	}
	return true
}

func answers(call uint64) Event { return AttemptAnswered{Call: call, Attempt: 1, Status: 200} }

func refuses(reason wire.RefusalReason, startedAt int64) func(uint64) Event {
	return func(call uint64) Event {
		e := AttemptRefused{Call: call, Attempt: 1, Reason: reason}
		if startedAt != 0 {
			e.StartedAt = time.Unix(startedAt, 0)
		}
		return e
	}
}

// Guards against a server in use that gets no calls for good, since a refusal of an earlier start of it
// came after the entry of the present one; and against calls to a server that has left.
func TestDepartedServer(t *testing.T) {
	const leaving, wrong = wire.ReasonLeaving, wire.ReasonWrongMember
	tests := map[string]struct {
		steps func(d *departures)
		want  bool // a call that may be repeated is sent
		once  bool // so is one that may run once only
	}{
		"leaving":                        {steps: func(d *departures) { d.sends(true, refuses(leaving, 0)) }},
		"replaced":                       {steps: func(d *departures) { d.sends(true, refuses(wrong, 900)) }},
		"shown as not ready, then ready": {func(d *departures) { d.sends(true, refuses(leaving, 0)); d.announce(900, false); d.announce(900, true) }, true, true},
		"announced again":                {steps: func(d *departures) { d.sends(true, refuses(leaving, 0)); d.announce(900, true) }},
		"a later start announced":        {func(d *departures) { d.sends(true, refuses(wrong, 900)); d.announce(950, true) }, true, true},
		"refusal of an earlier start":    {func(d *departures) { d.announce(950, true); d.sends(true, refuses(wrong, 900)) }, true, true},
		"refusal of a later start":       {steps: func(d *departures) { d.sends(true, refuses(leaving, 950)) }},
		"refusal slower than the entry": {func(d *departures) {
			d.sends(true, func(call uint64) Event { d.announce(950, true); return refuses(leaving, 0)(call) })
		}, true, true},
		"after its time": {func(d *departures) { d.sends(true, refuses(leaving, 0)); d.now = d.now.Add(departureTime) }, true, false},
		"after its time, trial under way": {steps: func(d *departures) {
			d.sends(true, refuses(leaving, 0))
			d.now = d.now.Add(departureTime)
			d.sends(true, nil)
		}},
		"after its time, answered": {func(d *departures) {
			d.sends(true, refuses(leaving, 0))
			d.now = d.now.Add(departureTime)
			d.sends(true, answers)
		}, true, true},
		"after its time, none may be repeated": {func(d *departures) {
			d.sends(true, refuses(leaving, 0))
			d.now = d.now.Add(departureTime)
			d.sends(false, answers)
			d.now = d.now.Add(departureTime)
		}, true, true},
		"after its time, refused again": {steps: func(d *departures) {
			d.sends(true, refuses(leaving, 0))
			d.now = d.now.Add(departureTime)
			d.sends(true, refuses(leaving, 0))
			d.now = d.now.Add(departureTime)
		}},
		"answer of an earlier call": {steps: func(d *departures) {
			d.sends(true, nil)
			d.sends(true, refuses(leaving, 0))
			d.sim.core.Step(d.now, answers(1))
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDepartures()
			tc.steps(d)
			qt.Check(t, d.sends(false, answers), qt.Equals, tc.once)
			qt.Check(t, d.sends(true, answers), qt.Equals, tc.want)
		})
	}
}

// TestDepartureEnds checks that a server that is announced as in use and does not refuse calls gets them within a bound,
// whatever refusals and tables came before, in whatever order.
func TestDepartureEnds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d := newDepartures()
		for range rapid.IntRange(0, 20).Draw(r, "steps") {
			at := rapid.Int64Range(890, 960).Draw(r, "started")
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0:
				d.announce(at, rapid.Bool().Draw(r, "ready"))
			case 1:
				d.sends(rapid.Bool().Draw(r, "idempotent"), answers)
			case 2:
				d.now = d.now.Add(time.Duration(rapid.Int64Range(0, int64(2*departureTime)).Draw(r, "pause")))
			default:
				reason := rapid.SampledFrom([]wire.RefusalReason{wire.ReasonLeaving, wire.ReasonWrongMember}).Draw(r, "reason")
				d.sends(true, refuses(reason, rapid.SampledFrom([]int64{0, at}).Draw(r, "of")))
			}
		}
		d.announce(960, true)
		d.now = d.now.Add(d.sim.core.Settings.MaxEjectionTime)
		d.sends(false, answers)
		d.now = d.now.Add(departureTime)
		if !d.sends(false, answers) || !d.sends(true, answers) {
			r.Fatal("a server in use gets no calls")
		}
	})
}
