package report

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReport reads a small log with prefixes, a line of another program, a broken line and a last
// line without an end.
func TestReport(t *testing.T) {
	c := qt.New(t)
	f, err := os.Open("testdata/small.log")
	c.Assert(err, qt.IsNil)
	defer f.Close()
	b := &Builder{}
	c.Assert(b.Read(f), qt.IsNil)
	r := b.Report()
	c.Check(r.Skipped, qt.Equals, 2)
	c.Assert(r.Routes, qt.HasLen, 2)
	inner, read := r.Routes[0], r.Routes[1]
	c.Check(read.Counts, qt.DeepEquals, Counts{Asked: 4, InObjective: 1, Late: 1, Failed: 1, Refused: map[string]int{"queue_full": 1}, Attempts: 5})
	c.Check(inner.Counts, qt.DeepEquals, Counts{Asked: 3, Refused: map[string]int{"cut": 1, "not_ready": 1}, Gone: 1, Attempts: 2})
	c.Check(inner.Service, qt.Equals, "library")
	c.Check(read.ExpectedWaitMS, qt.Equals, 40.0/3)
	c.Check(read.WaitMS, qt.Equals, 10.0/3)

	c.Assert(r.Servers, qt.HasLen, 3)
	c.Check(round(r.Servers[0]), qt.Equals, "a-1 desk 2 0.36 0.08 0.00 1.63 1")
	c.Check(round(r.Servers[1]), qt.Equals, "a-2 desk 2 0.00 0.00 0.00 0.00 0") // it logged nothing in the window of the refusal
	c.Check(round(r.Servers[2]), qt.Equals, "b-1 library 2 0.00 0.00 0.20 0.00 0")

	c.Assert(r.Windows, qt.HasLen, 3)
	worst := r.Windows[0]
	c.Check(worst.From, qt.Equals, time.Date(2026, 3, 1, 10, 0, 1, 0, time.UTC))
	c.Check(worst.Lost, qt.Equals, 2)
	c.Check(worst.Late, qt.Equals, 1)
	c.Check(worst.Causes, qt.DeepEquals, []Cause{{"read", "refused queue_full", 1}, {"read", "status 500", 1}})

	c.Check(r.Bounds, qt.HasLen, 2)
	c.Check(r.Bounds[0].Reached, qt.Equals, 2)

	var table bytes.Buffer
	c.Assert(r.WriteTable(&table, 1), qt.IsNil)
	c.Check(table.String(), qt.Contains, "refused queue_full 1, read status 500 1")
	c.Check(strings.Count(table.String(), "10:00:0"), qt.Equals, 3) // the span and one window
}

func round(s Server) string {
	return fmt.Sprintf("%s %s %d %.2f %.2f %.2f %.2f %d", s.Agent, s.Service, s.Slots, s.Answers, s.InVain, s.Unanswered, s.IdleRefused, s.Refusals)
}

// TestReportCuts checks the counts of requests that were cut, by state and by who ended them.
func TestReportCuts(t *testing.T) {
	c := qt.New(t)
	b := &Builder{}
	c.Assert(b.Read(strings.NewReader(`{"time":"2026-03-01T10:00:00Z","msg":"entry or tombstone written","agent":"a","state":1}
{"time":"2026-03-01T10:00:00Z","logger":"dispatch","msg":"request cut","agent":"a","request_id":"r1","route":"read","state":"sent","ended_by":"proxy_grace","since_signal_ms":5400}
{"time":"2026-03-01T10:00:00Z","logger":"dispatch","msg":"request cut","agent":"a","request_id":"r2","route":"read","state":"sent","ended_by":"proxy_grace","since_signal_ms":5300}
{"time":"2026-03-01T10:00:00Z","logger":"link","msg":"request cut","agent":"b","request_id":"r3","route":"read","state":"sent","ended_by":"link_closed"}
`)), qt.IsNil)
	r := b.Report()
	c.Check(r.Skipped, qt.Equals, 0)
	c.Check(r.Cuts, qt.DeepEquals, []Cut{
		{"dispatch", "sent", "proxy_grace", 2, 2, 5300, 5400, []string{"r1", "r2"}},
		{"link", "sent", "link_closed", 1, 0, 0, 0, []string{"r3"}},
	})
	var table bytes.Buffer
	c.Assert(r.WriteTable(&table, 1), qt.IsNil)
	c.Check(table.String(), qt.Matches, `(?s).*dispatch +sent +proxy_grace +2 +2 +5300-5400 ms +r1 r2\n.*`)
}

// TestReportAccount checks that each request is counted once, also if its answer was cut after its
// line, and that the ends of runs are joined to those of their requests.
func TestReportAccount(t *testing.T) {
	c := qt.New(t)
	log := ""
	add := func(logger, text string) {
		log += fmt.Sprintf(`{"time":"2026-03-01T10:00:00Z","logger":%q,"agent":"a",%s}`+"\n", logger, text)
	}
	for i := range 10 { // 8 and 9 have no end
		add("dispatch", fmt.Sprintf(`"msg":"dispatch","route":"read","attempt":1,"request_id":"r%d"`, i))
	}
	add("dispatch", `"msg":"dispatch","route":"read","attempt":2,"request_id":"r1"`)
	add("dispatch", `"msg":"answered","route":"read","request_id":"r0","status":200`)
	add("dispatch", `"msg":"answered","route":"read","request_id":"r1","status":503,"since_signal_ms":100`)
	add("dispatch", `"msg":"answered","route":"read","request_id":"r2","status":200`)
	add("dispatch", `"msg":"request cut","route":"read","request_id":"r2","end":"cut","sent":true,"answer":"answered","state":"answer_streaming","ended_by":"kill_timer","since_signal_ms":5800`)
	add("dispatch", `"msg":"refused","route":"read","request_id":"r3","reason":"queue_full","may_have_run":false,"sent":true`)
	add("dispatch", `"msg":"refused","route":"read","request_id":"r4","reason":"leaving","may_have_run":true,"sent":true,"since_signal_ms":5650`)
	add("dispatch", `"msg":"request cut","route":"read","request_id":"r4","end":"refused_may_have_run","sent":true,"answer":"refused_may_have_run","state":"sent","ended_by":"proxy_grace","reason":"leaving","since_signal_ms":5650`)
	add("dispatch", `"msg":"request cut","route":"read","request_id":"r5","end":"caller_left","sent":true,"state":"sent","ended_by":"caller"`)
	add("dispatch", `"msg":"request cut","route":"read","request_id":"r6","end":"timeout","sent":true,"answer":"timeout","state":"sent","ended_by":"timeout","reason":"timeout"`)
	add("dispatch", `"msg":"request cut","route":"read","request_id":"r7","end":"refused_may_have_run","sent":true,"answer":"refused_may_have_run","state":"sent","ended_by":"backend","reason":"cut"`)
	add("dispatch", `"msg":"refused","request_id":"n1","reason":"no_route","status":404`)
	add("dispatch", `"msg":"answered","route":"pay","request_id":"n2","status":200,"replayed":true`)
	add("booking", `"msg":"run ended without an answer","route":"read","request_id":"r4","ended_by":"caller","held_ms":300`)
	b := &Builder{}
	c.Assert(b.Read(strings.NewReader(log)), qt.IsNil)
	r := b.Report()
	c.Check(r.Account, qt.DeepEquals, Account{
		Received: 12, Open: 2, OpenIDs: r.Account.OpenIDs,
		Ends: []EndCount{
			{End: "answered", Requests: 2, Sent: 1},
			{End: "answered_server_failure", Requests: 1, Sent: 1, Stopping: 1},
			{End: "refused_not_run", Requests: 1, Sent: 1},
			{End: "rejected", Requests: 1},
			{"refused_may_have_run", "sent", "backend", "cut", 1, 1, 0},
			{"refused_may_have_run", "sent", "proxy_grace", "leaving", 1, 1, 1},
			{"timeout", "sent", "timeout", "timeout", 1, 1, 0},
			{"caller_left", "sent", "caller", "", 1, 1, 0},
			{"cut", "answer_streaming", "kill_timer", "", 1, 1, 1},
		},
		NearMisses: []NearMiss{
			{"cut", "answer_streaming", "kill_timer", "", 1, 1, 5800, 5800, map[string]int{}, []string{"r2"}},
			{"refused_may_have_run", "sent", "proxy_grace", "leaving", 1, 1, 5650, 5650, map[string]int{"caller": 1}, []string{"r4"}},
			{"timeout", "sent", "timeout", "timeout", 1, 0, 0, 0, map[string]int{}, []string{"r6"}},
		},
	})
	c.Check(r.Account.OpenIDs, qt.Contains, "r9")
	var table bytes.Buffer
	c.Assert(r.WriteTable(&table, 1), qt.IsNil)
	c.Check(table.String(), qt.Matches, `(?s).*answered +2 +1 +0\n.*rest: cut by kill_timer in answer_streaming +1 +1 +1\n.*received +12 .*`)
}

// TestReportUse checks that a run counts in each window in which it held its slot.
func TestReportUse(t *testing.T) {
	c := qt.New(t)
	b := &Builder{Window: 700 * time.Millisecond} // not a part of a second
	text := `{"time":"2026-03-01T10:00:02.5Z","logger":"booking","msg":"answered","agent":"a","route":"read","request_id":"r","status":200,"took_ms":2000}`
	c.Assert(b.Read(strings.NewReader(text)), qt.IsNil)
	var got []string
	for _, n := range slices.Sorted(maps.Keys(b.windows)) {
		got = append(got, fmt.Sprintf("%.1f", b.windows[n].used["a"]))
	}
	c.Check(got, qt.DeepEquals, []string{"0.7", "0.7", "0.6"}) // it begins at the start of a window
}

// TestReportBoundsMemory checks that calls whose end is missing, and lines without an end, are not
// kept.
func TestReportBoundsMemory(t *testing.T) {
	var log bytes.Buffer
	for i := range maxPending + 10 {
		fmt.Fprintf(&log, "{\"time\":\"2026-03-01T10:00:02Z\",\"logger\":\"dispatch\",\"msg\":\"dispatch\",\"agent\":\"a\",\"route\":\"read\",\"request_id\":\"%d\"}\n", i)
	}
	log.Write(bytes.Repeat([]byte("x"), 3*maxLine))
	b := &Builder{}
	qt.Assert(t, b.Read(&log), qt.IsNil)
	qt.Check(t, len(b.pending) <= maxPending, qt.IsTrue)
	qt.Check(t, b.Report().Lines, qt.Equals, maxPending+10)
}

// TestBound checks the bound in an overload by two routes of one service, whose runs take 0.1 and
// 0.5 s of two slots.
func TestBound(t *testing.T) {
	b := &Builder{}
	log := `{"time":"2026-03-01T10:00:00Z","msg":"agent started","agent":"a","service":"desk"}
{"time":"2026-03-01T09:59:59Z","msg":"agent started","agent":"left","service":"desk"}
{"time":"2026-03-01T09:59:59Z","msg":"backend server state changed","agent":"left","slots":2}
{"time":"2026-03-01T09:59:59Z","logger":"booking","msg":"draining","agent":"left"}
{"time":"2026-03-01T10:00:00Z","logger":"booking","msg":"refused","agent":"left","reason":"leaving"}
{"time":"2026-03-01T10:00:00Z","msg":"backend server state changed","agent":"a","slots":2}
{"time":"2026-03-01T10:00:00.9Z","logger":"booking","msg":"answered","agent":"a","route":"short","status":200,"took_ms":100}
{"time":"2026-03-01T10:00:00.9Z","logger":"booking","msg":"answered","agent":"a","route":"long","status":200,"took_ms":500}
`
	for route, asked := range map[string]int{"short": 12, "long": 10} {
		for i := range asked {
			log += fmt.Sprintf(`{"time":"2026-03-01T10:00:00.1Z","logger":"dispatch","msg":"dispatch","agent":"a","service":"desk","route":%q,"request_id":"%s%d"}`+"\n", route, route, i)
		}
	}
	qt.Assert(t, b.Read(strings.NewReader(log)), qt.IsNil)
	r := b.Report()
	qt.Check(t, r.Routes[0].Possible, qt.Equals, 4)  // long: 2 slot-seconds
	qt.Check(t, r.Routes[1].Possible, qt.Equals, 12) // short: all
	qt.Assert(t, r.Bounds, qt.HasLen, 1)
	got := r.Bounds[0]
	got.Work, got.Capacity = math.Round(10*got.Work)/10, math.Round(got.Capacity)
	qt.Check(t, got, qt.Equals, Bound{Service: "desk", Asked: 22, Reached: 2, Possible: 13, Work: 6.2, Capacity: 2}) // 12 short ones leave room for one long
}

// BenchmarkReport reads 200,000 lines.
func BenchmarkReport(b *testing.B) {
	text, err := os.ReadFile("testdata/small.log")
	qt.Assert(b, err, qt.IsNil)
	log := bytes.Repeat(append(text, '\n'), 200_000/bytes.Count(text, []byte("\n")))
	for b.Loop() {
		r := &Builder{}
		qt.Assert(b, r.Read(bytes.NewReader(log)), qt.IsNil)
	}
}
