package standin

import (
	"sync"
	"time"
)

// maxRuns bounds the runs kept one by one; the counts go on beyond it.
const maxRuns = 1 << 20

// RunLog records every run of the backend servers that share it.
type RunLog struct {
	mu          sync.Mutex
	runs        []Run
	tokens      map[string]int
	keys        map[string]int
	inFlight    peak
	connections peak
}

// notKept is the index of a run beyond maxRuns.
const notKept = -1

// peak tracks a number for each server and how often it passed its limit.
type peak struct {
	now      map[string]int
	most     int
	exceeded int
}

func (p *peak) add(server string, limit int) {
	if p.now == nil {
		p.now = map[string]int{}
	}
	p.now[server]++
	n := p.now[server]
	p.most = max(p.most, n)
	if limit > 0 && n > limit {
		p.exceeded++
	}
}

// Count returns how many runs were begun for a token.
func (l *RunLog) Count(token string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokens[token]
}

// CountKey returns how many runs were begun for an idempotency key.
func (l *RunLog) CountKey(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys[key]
}

// Doubled returns the number of idempotency keys for which more than one run was begun.
func (l *RunLog) Doubled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	doubled := 0
	for _, n := range l.keys {
		if n > 1 {
			doubled++
		}
	}
	return doubled
}

// Runs returns a copy of the first million runs in the order in which they began.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Late returns the number of runs begun later than grace after their server began to drain.
func (l *RunLog) Late(grace time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := 0
	for _, r := range l.runs {
		if r.AfterDrain > grace {
			late++
		}
	}
	return late
}

// MaxInFlight returns the most runs that one server had at once.
func (l *RunLog) MaxInFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight.most
}

// MaxConnections returns the most connections that one server had at once.
func (l *RunLog) MaxConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connections.most
}

// SlotsExceeded returns the number of runs begun while their server had no free slot.
func (l *RunLog) SlotsExceeded() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight.exceeded
}

// ConnectionsExceeded returns the number of connections opened beyond their server's limit.
func (l *RunLog) ConnectionsExceeded() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connections.exceeded
}

// begin records the start of a run and returns its index.
func (l *RunLog) begin(r Run, slots int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tokens == nil {
		l.tokens = map[string]int{}
		l.keys = map[string]int{}
	}
	if r.Token != "" {
		l.tokens[r.Token]++
	}
	if r.Key != "" {
		l.keys[r.Key]++
	}
	l.inFlight.add(r.Server, slots)
	if len(l.runs) == maxRuns {
		return notKept
	}
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

// end records the end of a run of a server.
func (l *RunLog) end(server string, i int, now time.Time, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight.now[server]--
	if i == notKept {
		return
	}
	l.runs[i].End = now
	l.runs[i].Whole = whole
}

func (l *RunLog) connect(server string, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections.add(server, limit)
}

func (l *RunLog) disconnect(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections.now[server]--
}
