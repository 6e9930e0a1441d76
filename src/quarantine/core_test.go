package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// crashAt is a crash under content 1.
type crashAt struct {
	after   time.Duration // from the start
	cleared bool
}

func TestCoreVerdict(t *testing.T) {
	start := time.Unix(1000, 0)
	spread := []crashAt{{after: 0}, {after: time.Second}, {after: 2 * time.Second}}
	moment := []crashAt{{after: 0}, {after: 100 * time.Millisecond}, {after: 300 * time.Millisecond}}
	tests := map[string]struct {
		crashes []crashAt
		claimed int // probes
		at      time.Duration
		want    Verdict
	}{
		"no crash":                        {want: Allowed{}},
		"two crashes":                     {crashes: spread[:2], at: 2 * time.Second, want: Allowed{}},
		"three crashes":                   {crashes: spread, at: 2 * time.Second, want: Refused{RetryAfter: 10 * time.Second}},
		"three crashes, one cleared":      {crashes: []crashAt{{}, {after: 1, cleared: true}, {after: 2}}, at: time.Second, want: Allowed{}},
		"soon before the first probe":     {crashes: spread, at: 11900 * time.Millisecond, want: Refused{RetryAfter: minRetryAfter}},
		"first probe":                     {crashes: spread, at: 12 * time.Second, want: ProbeDue{Number: 1}},
		"after the first probe":           {crashes: spread, claimed: 1, at: 12 * time.Second, want: Refused{RetryAfter: 50 * time.Second}},
		"second probe":                    {crashes: spread, claimed: 1, at: 62 * time.Second, want: ProbeDue{Number: 2}},
		"after the last probe":            {crashes: spread, claimed: 2, at: time.Hour, want: Refused{RetryAfter: maxRetryAfter}},
		"crashes of one moment":           {crashes: moment, at: time.Second, want: Refused{RetryAfter: minRetryAfter}},
		"crashes of one moment, probe":    {crashes: moment, at: 1300 * time.Millisecond, want: ProbeDue{Number: 1}},
		"crashes of one moment, probed":   {crashes: moment, claimed: 1, at: 2 * time.Second, want: Refused{RetryAfter: 58300 * time.Millisecond}},
		"a day later":                     {crashes: spread, claimed: 2, at: 24*time.Hour + 2*time.Second, want: Allowed{}},
		"two crashes, a third much later": {crashes: []crashAt{{}, {after: time.Second}, {after: 11 * time.Minute}}, at: 11 * time.Minute, want: Allowed{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var core Core
			for i, crash := range tc.crashes {
				at := start.Add(crash.after)
				core.Step(at, Received{Crashes: []Crash{{ID: uint64(i + 1), Content: 1, Instance: fmt.Sprint("i-", i), Time: at, Cleared: crash.cleared}}})
			}
			core.Step(start, ProbeClaimed{Probe: Probe{Content: 1, Number: tc.claimed}})
			c.Check(core.Verdict(start.Add(tc.at), 1), qt.Equals, tc.want)
			c.Check(core.Verdict(start.Add(tc.at), 2), qt.Equals, Verdict(Allowed{}))
		})
	}
}

// crashThrice reports three crashes under a request and returns the actions of the last.
func crashThrice(core *Core, now time.Time, content uint64) []Action {
	var out []Action
	for i := range uint64(quarantineThreshold) {
		out = core.Step(now, Crashed{ID: content*10 + i, Instance: fmt.Sprint("i-", i), Contents: []uint64{content}})
	}
	return out
}

// The crashes of a request that ran beside the cause of three crashes within its own usual time
// must not set it aside; it used to be refused until its first probe, for 10 s and more.
func TestCoreAnsweredBefore(t *testing.T) {
	const content, beside = 2, 1
	tests := map[string]struct {
		usual   time.Duration // 0 for a request that has never been answered
		shared  bool          // by another request
		probing bool          // that one
		after   time.Duration // from the last crash
		want    Verdict
	}{
		"may still be answered":               {usual: 3 * time.Second, after: 999 * time.Millisecond, want: Allowed{}},
		"would have been answered":            {usual: 3 * time.Second, after: time.Second, want: Refused{RetryAfter: 9 * time.Second}},
		"answers that take a minute":          {usual: time.Minute, after: 8 * time.Second, want: Refused{RetryAfter: minRetryAfter}},
		"never answered":                      {want: Refused{RetryAfter: 10 * time.Second}},
		"beside another, soon before a probe": {shared: true, after: 900 * time.Millisecond, want: Refused{RetryAfter: minRetryAfter}},
		"beside another, probe":               {shared: true, after: time.Second, want: ProbeDue{Number: 1}},
		"beside another, whose probe runs":    {shared: true, probing: true, after: time.Second, want: Refused{RetryAfter: minRetryAfter}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			var core Core
			for range 20 {
				core.Step(now, Answered{Content: content, Took: tc.usual})
			}
			for i := range uint64(quarantineThreshold) {
				e := Crashed{ID: i + 1, Instance: fmt.Sprint("i-", i), Contents: []uint64{content}}
				if tc.shared {
					e.Contents = append(e.Contents, beside)
				}
				core.Step(now.Add(time.Duration(i)*time.Second), e)
			}
			last := now.Add((quarantineThreshold - 1) * time.Second)
			if tc.probing {
				core.Step(last.Add(tc.after), ProbeClaimed{Probe: Probe{Content: beside, Number: 1}, Own: true})
			}
			c.Check(core.Verdict(last.Add(tc.after), content), qt.Equals, tc.want)
		})
	}
}

// An answer, and an operator's release, allow a request again in all daemons, whatever the order in
// which those are told; the next three crashes set it aside again.
func TestCoreCleared(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, e := range map[string]Event{"answered": Answered{Content: 1}, "released": Released{Content: 1}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var one, two, late Core
			actions := crashThrice(&one, now, 1)
			c.Assert(actions[0], qt.CmpEquals(), Quarantined{Content: 1, Crashes: one.Crashes()})
			crashes := one.Crashes()
			two.Step(now, Received{Crashes: crashes})
			c.Check(two.Digest(), qt.Equals, one.Digest())
			c.Check(two.Verdict(now, 1), qt.Not(qt.Equals), Verdict(Allowed{}))

			actions = one.Step(now, e)
			c.Assert(actions, qt.HasLen, 2)
			c.Check(actions[0], qt.Equals, Action(Cleared{Content: 1}))
			two.Step(now, Received{Crashes: actions[1].(Broadcast).Crashes})
			late.Step(now, Received{Crashes: actions[1].(Broadcast).Crashes})
			late.Step(now, Received{Crashes: crashes})
			for _, core := range []*Core{&one, &two, &late} {
				c.Check(core.Verdict(now, 1), qt.Equals, Verdict(Allowed{}))
				c.Check(core.IsSuspect(1), qt.IsFalse)
				c.Check(core.Digest(), qt.Equals, one.Digest())
			}
			for i := range uint64(quarantineThreshold) {
				c.Check(one.Verdict(now, 1), qt.Equals, Verdict(Allowed{}))
				one.Step(now, Crashed{ID: 100 + i, Instance: "i", Contents: []uint64{1}})
			}
			c.Check(one.Verdict(now, 1), qt.Not(qt.Equals), Verdict(Allowed{}))
		})
	}
}

// A caller who sends ever new requests that crash servers must not push out those that are set
// aside by requests that only ran beside them, and memory stays bounded.
func TestCoreBounds(t *testing.T) {
	c := qt.New(t)
	var core Core
	now := time.Unix(1000, 0)
	const quarantined = maxSuspects / 2
	for content := range uint64(quarantined) {
		crashThrice(&core, now, content+1)
	}
	for i := range uint64(3 * maxSuspects) {
		now = now.Add(time.Millisecond)
		core.Step(now, Crashed{ID: i, Instance: "i", Contents: []uint64{1_000_000 + i}})
		core.Step(now, Crashed{ID: 1_000_000 + i, Instance: "i", Contents: []uint64{1}})
	}
	c.Check(core.suspects, qt.HasLen, maxSuspects)
	c.Check(len(core.Crashes()) <= maxSuspects*maxCrashes, qt.IsTrue)
	for content := range uint64(quarantined) {
		c.Check(core.Verdict(now, content+1), qt.Not(qt.Equals), Verdict(Allowed{}))
	}
}

// All builds must know a request by the same hash.
func TestContent(t *testing.T) {
	base := Request{Method: "GET", Host: "bookings.example", Target: "/diary/today?page=2"}
	tests := map[string]struct {
		change func(r *Request)
		same   bool
	}{
		"case of the host":  {func(r *Request) { r.Host = "Bookings.Example" }, true},
		"method":            {func(r *Request) { r.Method = "POST" }, false},
		"query":             {func(r *Request) { r.Target = "/diary/today?page=3" }, false},
		"caller":            {func(r *Request) { r.Authorization = "Bearer 1" }, false},
		"body":              {func(r *Request) { r.BodyStart, r.BodyLength = []byte("a"), 1 }, false},
		"length of body":    {func(r *Request) { r.BodyLength = 1 << 20 }, false},
		"shifted by a byte": {func(r *Request) { r.Host, r.Target = "bookings.example/", "diary/today?page=2" }, false},
	}
	c := qt.New(t)
	c.Check(FormatContent(base.Content()), qt.Equals, "334e7d826bb81a98")
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := base
			tc.change(&r)
			qt.Check(t, r.Content() == base.Content(), qt.Equals, tc.same)
		})
	}
	content, err := ParseContent(FormatContent(base.Content()))
	c.Check(err, qt.IsNil)
	c.Check(content, qt.Equals, base.Content())
}
