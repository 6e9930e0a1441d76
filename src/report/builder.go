package report

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/yuccaport/yuccaport/src/cut"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	maxLine    = 1 << 20 // bytes; a longer line is skipped
	maxPending = 1 << 17 // calls without an end that are kept; beyond it all are forgotten
)

// slotReasons are the reasons for which calls are refused for want of a slot.
var slotReasons = []string{wire.ReasonQueueFull.String(), wire.ReasonDeadline.String(), wire.ReasonLimit.String()}

// Builder builds a Report from log lines, in any order of agents. Memory grows with the length of
// the span and the numbers of routes and agents, not with the number of lines.
type Builder struct {
	Window time.Duration // length of a window, 1 s if 0

	report   Report
	pending  map[string]pendingCall
	services map[string]string // by route
	routes   map[string]*Route
	waits    map[string]*waitSum
	servers  map[string]*Server
	isDown   map[string]bool // by agent, since its last line on it
	cuts     map[cutKey]*Cut
	account  account
	windows  map[int64]*window // by number since the Unix epoch
}

// pendingCall is a call whose end has not been read yet.
type pendingCall struct {
	objective    int64 // milliseconds, 0 for none
	expectedWait int64 // milliseconds, of its last attempt
}

// waitSum sums up the waits, in milliseconds, that were expected for calls of a route, and those
// that came.
type waitSum struct{ calls, expected, came float64 }

func (b *Builder) init() {
	if b.pending != nil {
		return
	}
	if b.Window <= 0 {
		b.Window = time.Second
	}
	b.pending, b.services = map[string]pendingCall{}, map[string]string{}
	b.routes, b.waits, b.servers = map[string]*Route{}, map[string]*waitSum{}, map[string]*Server{}
	b.windows, b.isDown = map[int64]*window{}, map[string]bool{}
	b.cuts = map[cutKey]*Cut{}
	b.account = newAccount()
}

// Read adds the lines of a log. A line without an end, as of a log that is still written, counts as
// any other. The error is that of r.
func (b *Builder) Read(r io.Reader) error {
	b.init()
	br := bufio.NewReaderSize(r, maxLine)
	for {
		text, err := br.ReadSlice('\n')
		for errors.Is(err, bufio.ErrBufferFull) {
			text = nil
			_, err = br.ReadSlice('\n')
		}
		if len(text) > 0 {
			b.add(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (b *Builder) add(text []byte) {
	l, ok := parseLine(text)
	if !ok {
		b.report.Skipped++
		return
	}
	b.report.Lines++
	if b.report.From.IsZero() || l.Time.Before(b.report.From) {
		b.report.From = l.Time
	}
	if l.Time.After(b.report.To) {
		b.report.To = l.Time
	}
	b.noteState(l)
	if l.Agent != "" && !b.isDown[l.Agent] {
		b.window(l.Time).serving[l.Agent] = true
	}
	b.account.add(l)
	if l.Message == "request cut" {
		b.addCut(l)
		b.addGone(l)
		return
	}
	switch l.Logger {
	case "dispatch":
		b.addCall(l)
	case "booking":
		b.addRun(l)
	default:
		b.addAgent(l)
	}
}

// noteState reads whether an agent's backend server takes calls; one that has said nothing of it does.
func (b *Builder) noteState(l line) {
	switch l.Message {
	case "backend server health changed":
		b.isDown[l.Agent] = l.Is != "up"
	case "backend server state changed":
		b.isDown[l.Agent] = l.Leaving
	case "draining":
		b.isDown[l.Agent] = true
	}
}

// addAgent reads what an agent says of its backend server.
func (b *Builder) addAgent(l line) {
	if l.Agent == "" {
		return
	}
	s := b.server(l.Agent)
	if l.Message == "agent started" {
		s.Service = l.Service
	}
	if l.Message == "backend server state changed" {
		s.Slots = max(s.Slots, l.Slots)
	}
}

// addCall reads a line of the callers' side.
func (b *Builder) addCall(l line) {
	if l.RequestID == "" || l.Route == "" {
		return
	}
	p, known := b.pending[l.RequestID]
	w, r := b.window(l.Time), b.route(l.Route)
	isFirst := !known && (l.Message == "dispatch" || l.Message == "refused")
	if isFirst {
		r.Asked++
		w.asked++
		w.route(l.Route).asked++
		p.objective = l.Objective
	}
	switch l.Message {
	case "dispatch":
		r.Attempts++
		p.expectedWait = l.WaitMS
		b.services[l.Route] = l.Service
		b.keep(l.RequestID, p)
		return
	case "answered":
		b.addAnswer(l, p)
	case "refused":
		r.Refused[l.Reason]++
		w.causes[Cause{Route: l.Route, Reason: "refused " + l.Reason}]++
	default:
		return
	}
	delete(b.pending, l.RequestID)
}

// addGone counts a call that its caller has left before it was answered.
func (b *Builder) addGone(l line) {
	if l.Route == "" || l.Answer != "" || l.End != cut.EndCallerLeft.String() && l.End != cut.EndParent.String() {
		return
	}
	b.route(l.Route).Gone++
	delete(b.pending, l.RequestID)
}

// addAnswer counts an answer by its status and time.
func (b *Builder) addAnswer(l line, p pendingCall) {
	w, r := b.window(l.Time), b.route(l.Route)
	switch {
	case l.Status >= 500:
		r.Failed++
		w.causes[Cause{Route: l.Route, Reason: "status " + strconv.Itoa(l.Status)}]++
	case p.objective != 0 && l.TookMS > p.objective:
		r.Late++
		w.late++
	default:
		r.InObjective++
	}
}

// keep remembers a call until its end is read.
func (b *Builder) keep(id string, p pendingCall) {
	if len(b.pending) >= maxPending {
		clear(b.pending)
	}
	b.pending[id] = p
}

// addRun reads a line of the servers' side.
func (b *Builder) addRun(l line) {
	s := b.server(l.Agent)
	switch l.Message {
	case "answered":
		if l.Status < 500 {
			s.Answers += float64(l.TookMS) / 1000
			u := b.window(l.Time).route(l.Route)
			u.good++
			u.work += float64(l.TookMS) / 1000
		} else {
			s.InVain += float64(l.TookMS) / 1000
		}
		b.use(l, l.TookMS)
		b.addWait(l)
	case "run ended without an answer":
		s.Unanswered += float64(l.HeldMS) / 1000
		b.use(l, l.HeldMS)
	case "refused":
		if slices.Contains(slotReasons, l.Reason) {
			s.Refusals++
			b.window(l.Time).refusals[l.Agent]++
		}
	}
}

// addWait compares the wait of a run with what the caller's agent expected, if its line has been
// read: in logs that are merged by time, or of calls to the agent's own backend server.
func (b *Builder) addWait(l line) {
	p, ok := b.pending[l.RequestID]
	if !ok {
		return
	}
	sum := b.waits[l.Route]
	if sum == nil {
		sum = &waitSum{}
		b.waits[l.Route] = sum
	}
	sum.calls++
	sum.expected += float64(p.expectedWait)
	sum.came += float64(l.WaitedMS)
}

func (b *Builder) server(agent string) *Server {
	if b.servers[agent] == nil {
		b.servers[agent] = &Server{Agent: agent}
	}
	return b.servers[agent]
}

func (b *Builder) route(name string) *Route {
	if b.routes[name] == nil {
		b.routes[name] = &Route{Name: name, Counts: Counts{Refused: map[string]int{}}}
	}
	return b.routes[name]
}

// Report returns the report of all lines so far.
func (b *Builder) Report() Report {
	b.init()
	out := b.report
	for _, name := range slices.Sorted(maps.Keys(b.routes)) {
		r := *b.routes[name]
		r.Service = b.services[name]
		if sum := b.waits[name]; sum != nil {
			r.ExpectedWaitMS, r.WaitMS = sum.expected/sum.calls, sum.came/sum.calls
		}
		out.Routes = append(out.Routes, r)
	}
	out.Cuts = b.sortedCuts()
	out.Account = b.account.result(b.pending)
	out.Bounds = b.bounds(out.Routes)
	idle := b.idleSlots()
	for _, agent := range slices.Sorted(maps.Keys(b.servers)) {
		s := *b.servers[agent]
		if s.Slots == 0 && s.Answers+s.InVain+s.Unanswered == 0 {
			continue
		}
		for _, byAgent := range idle {
			s.IdleRefused += byAgent[agent]
		}
		out.Servers = append(out.Servers, s)
	}
	for n, w := range b.windows {
		out.Windows = append(out.Windows, b.newWindow(n, w, idle[n]))
	}
	slices.SortFunc(out.Windows, func(x, y Window) int {
		return cmp.Or(cmp.Compare(y.Lost, x.Lost), x.From.Compare(y.From))
	})
	return out
}
