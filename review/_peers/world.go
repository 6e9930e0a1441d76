package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// sent is a request that a client has sent.
type sent struct {
	id, method, target, host string
	body                     []byte
	unsafe                   bool
	agent                    int
	service                  string // of the machine where it began
	auth, tenant             string
	allowed                  []string  // services that may run it
	at, whole, ended         time.Time // whole: when its last byte was sent
	behind                   bool      // sent behind another one
	status                   int
	own                      bool // answered without Server-Stamp
	note                     string
}

// world collects what clients and servers see, and checks the rules on it.
type world struct {
	mu         sync.Mutex
	sent       map[string]*sent
	runs       map[string][]request
	bad        map[string]bool // runs whose answer was spoiled
	violations map[string]int
	first      []string
	counts     map[string]int
	planned    bool // only planned work
}

var (
	started  = time.Now()
	recordMu sync.Mutex
	record   *os.File
)

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if record != nil {
		fmt.Fprintf(record, "%8.3f  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
	}
}

func newWorld() *world {
	return &world{sent: map[string]*sent{}, runs: map[string][]request{}, bad: map[string]bool{}, violations: map[string]int{}, counts: map[string]int{}}
}

func (w *world) violate(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	rule, _, _ := strings.Cut(s, ":")
	w.mu.Lock()
	w.violations[rule]++
	if len(w.first) < 40 {
		w.first = append(w.first, fmt.Sprintf("%.3f ", time.Since(started).Seconds())+s)
	}
	w.mu.Unlock()
	note("VIOLATION %s", s)
}

func (w *world) count(k string) {
	w.mu.Lock()
	w.counts[k]++
	w.mu.Unlock()
}

func (w *world) send(s *sent) {
	w.mu.Lock()
	w.sent[s.id] = s
	w.mu.Unlock()
}

func (w *world) badRun(id string) {
	w.mu.Lock()
	w.bad[id] = true
	w.mu.Unlock()
}

func (w *world) partial(q request) { w.count("server: partial body") }

func (w *world) checkBody(what, id string, got []byte) {
	w.mu.Lock()
	s := w.sent[id]
	w.mu.Unlock()
	if s == nil {
		w.violate("UNASKED: %s: id %q was not sent", what, id)
		return
	}
	if !bytes.Equal(s.body, got) {
		w.violate("UNASKED: %s: %s body of %d bytes, sent %d (%s %s)", what, id, len(got), len(s.body), s.method, s.target)
	}
}

func (w *world) ran(s *server, q request) {
	note("%s runs at %s, its body of %d bytes has arrived, Deadline-Milliseconds %d", q.id, q.instance, len(q.body), q.deadline)
	w.checkBody("run", q.id, q.body)
	s.mu.Lock()
	acked := s.acked
	s.mu.Unlock()
	if !acked.IsZero() && time.Since(acked) > 2200*time.Millisecond {
		w.violate("DRAIN: %s runs at %s %.3f s after its leaving was acknowledged", q.id, q.instance, time.Since(acked).Seconds())
	}
	w.mu.Lock()
	sn := w.sent[q.id]
	w.runs[q.id] = append(w.runs[q.id], q)
	n := len(w.runs[q.id])
	w.mu.Unlock()
	if sn == nil {
		return
	}
	if sn.method != q.method || sn.target != q.target {
		w.violate("UNASKED: %s ran as %s %s, sent as %s %s", q.id, q.method, q.target, sn.method, sn.target)
	}
	if q.caller != sn.service {
		w.violate("UNASKED: %s ran with caller %q, sent at %q", q.id, q.caller, sn.service)
	}
	if q.tenant != sn.tenant && sn.tenant != "" || strings.Contains(q.auth, "key-") {
		w.violate("UNASKED: %s ran with tenant %q, auth %q, sent by %q", q.id, q.tenant, q.auth, sn.tenant)
	}
	if sn.unsafe && n > 1 {
		w.violate("TWICE: %s ran %d times", q.id, n)
	}
	ok := len(sn.allowed) == 0
	for _, a := range sn.allowed {
		ok = ok || a == q.service
	}
	if !ok {
		w.violate("ROUTE: %s %s ran at %s", q.id, sn.target, q.service)
	}
	w.mu.Lock()
	refused := sn.unsafe && promises(sn.status)
	w.mu.Unlock()
	if refused {
		w.violate("REFUSED: %s ran after it was answered %d", q.id, sn.status)
	}
}

func promises(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// answered records the end of a request.
func (w *world) answered(s *sent, status int, stampValue, gotID string, body []byte, whole bool, note string) {
	w.mu.Lock()
	s.ended, s.status, s.own, s.note = time.Now(), status, stampValue == "", note
	if status == 0 {
		w.counts["no answer, "+note]++
	}
	runs := append([]request(nil), w.runs[s.id]...)
	w.counts[fmt.Sprintf("answer %d own=%v", status, stampValue == "")]++
	w.mu.Unlock()
	if (status == 0 || !whole) && note != "gave up" {
		w.lost(s, runs, note)
	}
	if status == 0 {
		return
	}
	if gotID != "" && gotID != s.id {
		w.violate("MIXED: %s got the answer of %s", s.id, gotID)
	}
	if s.unsafe && promises(status) && len(runs) > 0 {
		w.violate("REFUSED: %s is answered %d and ran", s.id, status)
	}
	if status/100 == 2 && whole {
		var from *request
		for i := range runs {
			if stamp(s.id, runs[i].instance) == stampValue {
				from = &runs[i]
			}
		}
		switch {
		case stampValue == "":
			w.violate("MIXED: %s got %d without a stamp", s.id, status)
		case from == nil:
			w.violate("MIXED: %s got %d with stamp %s of no run", s.id, status, stampValue)
		case s.method != "HEAD" && !bytes.Equal(body, answerBody(s.id, from.instance, sizeOf(s.target))):
			w.violate("MIXED: %s got a body of %d bytes that is not the server's %d (%s)", s.id, len(body), len(answerBody(s.id, from.instance, sizeOf(s.target))), s.target)
		}
	}
}

// lost checks a request whose connection ended without a complete answer, where only planned work is
// under way.
func (w *world) lost(s *sent, runs []request, why string) {
	w.mu.Lock()
	planned, whole, now := w.planned, s.whole, s.ended
	w.mu.Unlock()
	if !planned || whole.IsZero() {
		return
	}
	switch {
	case len(runs) > 0:
		w.violate("LOST: %s %s %.70s body %d sent %.3f whole %.3f, ran %.3f at %s, no complete answer (%s) agent %d", s.id, s.method, s.target, len(s.body), s.at.Sub(started).Seconds(), whole.Sub(started).Seconds(), runs[0].at.Sub(started).Seconds(), runs[0].instance, why, s.agent)
	case !s.behind && now.Sub(whole) > 200*time.Millisecond:
		w.violate("LOST: %s %s %.70s body %d sent %.3f whole %.3f, not passed on, no complete answer (%s) agent %d", s.id, s.method, s.target, len(s.body), s.at.Sub(started).Seconds(), whole.Sub(started).Seconds(), why, s.agent)
	}
}
