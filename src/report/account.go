package report

import (
	"cmp"
	"maps"
	"slices"

	"github.com/yuccaport/yuccaport/src/cut"
)

// Account tells what became of the requests whose headers were read, as the agents that took them
// logged it.
type Account struct {
	Received   int        `json:"received"` // the sum of all ends and of Open
	Ends       []EndCount `json:"ends"`     // by end, then the most frequent first
	Open       int        `json:"open"`     // sent, without an end: in flight at the end of a log, or lost with their agent's process
	OpenIDs    []string   `json:"open_ids"` // some of them
	Unbegun    int        `json:"unbegun"`  // ends of requests whose beginning is not in the logs
	NearMisses []NearMiss `json:"near_misses"`
}

// EndCount counts the requests that ended in one way. State, By and Reason are empty for requests
// that were answered, refused as not run or rejected.
type EndCount struct {
	End      string `json:"end"`
	State    string `json:"state"`
	By       string `json:"by"`
	Reason   string `json:"reason"`
	Requests int    `json:"requests"`
	Sent     int    `json:"sent"`     // of them, to a member
	Stopping int    `json:"stopping"` // of them, at agents with a planned stop of their own
}

// NearMiss counts requests that agents ended while backend servers were at work on them.
type NearMiss struct {
	End      string         `json:"end"`
	State    string         `json:"state"`
	By       string         `json:"by"`
	Reason   string         `json:"reason"`
	Requests int            `json:"requests"`
	Stopping int            `json:"stopping"`    // at agents with a planned stop of their own
	FirstMS  int64          `json:"first_ms"`    // since the signal, of those; 0 for none
	LastMS   int64          `json:"last_ms"`     // the same
	Runs     map[string]int `json:"runs"`        // who ended their runs, as the agents beside the backend servers logged it
	IDs      []string       `json:"request_ids"` // at most maxCutIDs
}

// account collects an Account.
type account struct {
	ends   map[endKey]*EndCount
	misses map[endKey]*NearMiss
	begun  map[string]int    // requests that were sent, by agent
	ended  map[string]int    // those of them with an end
	runs   map[string]string // who ended runs without their answers, by request ID
}

// endKey identifies an EndCount and a NearMiss.
type endKey struct{ end, state, by, reason string }

func newAccount() account {
	return account{ends: map[endKey]*EndCount{}, misses: map[endKey]*NearMiss{}, begun: map[string]int{}, ended: map[string]int{}, runs: map[string]string{}}
}

// add reads a line.
func (a *account) add(l line) {
	switch {
	case l.Logger == "booking" && l.Message == "run ended without an answer" && len(a.runs) < maxPending:
		a.runs[l.RequestID] = l.EndedBy
	case l.Logger != "dispatch":
	case l.Message == "dispatch" && l.Attempt <= 1:
		a.begun[l.Agent]++
	case l.Message == "answered":
		a.count(l, endKey{end: answerEnd(l.Status)}, !l.Replayed, 1)
	case l.Message == "rejected", l.Message == "refused" && !l.MayRun:
		a.count(l, endKey{end: refusalEnd(l)}, l.Sent, 1)
	case l.Message == "request cut" && l.End != "":
		a.addCut(l)
	}
}

// addCut reads the line of a request that has no whole answer. If one was being written, its line has
// been counted as the end.
func (a *account) addCut(l line) {
	state, _ := l.State.(string)
	k := endKey{end: l.End, state: state, by: l.EndedBy, reason: l.Reason}
	a.count(l, k, l.Sent, 1)
	switch l.Answer {
	case cut.EndAnswered.String(), cut.EndServerFailure.String(), cut.EndNotRun.String(), cut.EndRejected.String():
		a.count(l, endKey{end: l.Answer}, l.Sent, -1)
	}
	if isNearMiss(l) {
		a.addNearMiss(l, k)
	}
}

// isNearMiss reports whether a request was ended by an agent while its backend server was at work.
func isNearMiss(l line) bool {
	switch l.End {
	case cut.EndMayHaveRun.String(), cut.EndTimeout.String(), cut.EndCut.String(), cut.EndStalled.String():
		return l.Sent && l.EndedBy != cut.Backend.String()
	}
	return false
}

func (a *account) addNearMiss(l line, k endKey) {
	m := a.misses[k]
	if m == nil {
		m = &NearMiss{End: k.end, State: k.state, By: k.by, Reason: k.reason}
		a.misses[k] = m
	}
	m.Requests++
	if l.RequestID != "" && len(m.IDs) < maxCutIDs {
		m.IDs = append(m.IDs, l.RequestID)
	}
	if l.SignalMS == nil {
		return
	}
	if m.Stopping++; m.Stopping == 1 {
		m.FirstMS = *l.SignalMS
	}
	m.FirstMS, m.LastMS = min(m.FirstMS, *l.SignalMS), max(m.LastMS, *l.SignalMS)
}

// count adds n requests, or takes them back.
func (a *account) count(l line, k endKey, sent bool, n int) {
	e := a.ends[k]
	if e == nil {
		e = &EndCount{End: k.end, State: k.state, By: k.by, Reason: k.reason}
		a.ends[k] = e
	}
	e.Requests += n
	if sent {
		e.Sent += n
		a.ended[l.Agent] += n
	}
	if l.SignalMS != nil && (n > 0 || e.Stopping > 0) { // an answer that is taken back may have begun before the signal
		e.Stopping += n
	}
}

// answerEnd returns the end of a request that a backend server answered.
func answerEnd(status int) string {
	if status >= 500 {
		return cut.EndServerFailure.String()
	}
	return cut.EndAnswered.String()
}

// refusalEnd returns the end of a request that an agent refused as not run.
func refusalEnd(l line) string {
	switch l.Status {
	case 0, 408, 429, 503:
		return cut.EndNotRun.String()
	}
	return cut.EndRejected.String()
}

// result returns the account, given the calls without an end by their IDs.
func (a *account) result(pending map[string]pendingCall) Account {
	out := Account{Ends: []EndCount{}, NearMisses: []NearMiss{}}
	for _, e := range a.ends {
		if e.Requests != 0 {
			out.Received += e.Requests
			out.Ends = append(out.Ends, *e)
		}
	}
	for agent := range maps.Keys(a.union()) {
		out.Open += max(0, a.begun[agent]-a.ended[agent])
		out.Unbegun += max(0, a.ended[agent]-a.begun[agent])
	}
	out.Received += out.Open
	if out.Open > 0 {
		out.OpenIDs = slices.Sorted(maps.Keys(pending))
		out.OpenIDs = out.OpenIDs[:min(len(out.OpenIDs), maxCutIDs)]
	}
	for _, m := range a.misses {
		m.Runs = map[string]int{}
		for _, id := range m.IDs {
			if by := a.runs[id]; by != "" {
				m.Runs[by]++
			}
		}
		out.NearMisses = append(out.NearMisses, *m)
	}
	slices.SortFunc(out.Ends, func(x, y EndCount) int {
		return cmp.Or(cmp.Compare(rank(x.End), rank(y.End)), cmp.Compare(y.Requests, x.Requests), cmp.Compare(x.By, y.By), cmp.Compare(x.State, y.State), cmp.Compare(x.Reason, y.Reason))
	})
	slices.SortFunc(out.NearMisses, func(x, y NearMiss) int {
		return cmp.Or(cmp.Compare(y.Requests, x.Requests), cmp.Compare(x.By, y.By), cmp.Compare(x.State, y.State), cmp.Compare(x.Reason, y.Reason))
	})
	return out
}

// union returns the agents that have begun or ended requests.
func (a *account) union() map[string]int {
	out := maps.Clone(a.begun)
	maps.Copy(out, a.ended)
	return out
}

// rank returns the place of an end in the account.
func rank(end string) int {
	for e := range cut.EndCut {
		if e.String() == end {
			return int(e)
		}
	}
	return int(cut.EndCut)
}
