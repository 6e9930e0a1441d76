package relay

import (
	"context"
	"slices"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/trace"
)

const maxKnownPeers = 256 // senders remembered in case the view does not list them; when full, all are dropped

// loop is the state of the goroutine that steps the core and executes its actions.
type loop struct {
	*Distributor
	ctx       context.Context
	core      *Core
	config    configState
	storePool pond.Pool
	peerPool  pond.Pool

	view          *roster.View
	members       []Member
	knownPeers    map[uint64]link.Peer // senders of probes and pushes, by ID
	head          ledger.Reference
	lease         *kv.Lease
	pendingInputs []input // inputs to be handled, among them the immediate results of executed actions
}

// run steps the core until ctx is done.
func (l *loop) run() {
	viewTicker := time.NewTicker(viewPollInterval)
	defer viewTicker.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	l.step(input{event: Tick{}})
	for {
		l.updateMembers()
		l.setTimer(timer)
		select {
		case in := <-l.inputs:
			l.step(in)
		case <-timer.C:
			l.step(input{event: Tick{}})
		case <-viewTicker.C:
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *loop) setTimer(t *time.Timer) {
	next := l.core.Next()
	if next.IsZero() {
		t.Stop()
		return
	}
	t.Reset(max(next.Sub(l.now()), time.Millisecond))
}

// updateMembers passes the members of the view to the core if they have changed.
func (l *loop) updateMembers() {
	v := l.View()
	if v == l.view {
		return
	}
	l.view = v
	members := membersOf(v, l.Self())
	if slices.Equal(members, l.members) {
		return
	}
	l.members = members
	l.step(input{event: Members{Members: members}})
}

// step handles an input and the immediate results of the actions that follow from it; results of calls arrive later as inputs.
func (l *loop) step(in input) {
	l.pendingInputs = append(l.pendingInputs, in)
	for len(l.pendingInputs) > 0 {
		in := l.pendingInputs[0]
		l.pendingInputs = l.pendingInputs[1:]
		l.saveInputData(in)
		if in.fetched != nil {
			l.apply(*in.fetched, SourceStore, 0)
			continue
		}
		now := l.now()
		actions := l.core.Step(now, in.event)
		if l.Record != nil {
			outcome, _ := trace.Outcomes(actions)
			l.Record.Record(now, in.event, outcome)
		}
		for _, a := range actions {
			l.execute(a, in)
		}
	}
	l.updateWatchStatus()
}

// saveInputData stores the data that an input carries for later actions.
func (l *loop) saveInputData(in input) {
	if in.reference != nil {
		l.head = *in.reference
	}
	if in.lease != nil {
		l.lease = in.lease
	}
	if _, pushed := in.event.(PushReceived); pushed && in.update != nil {
		l.config.rememberUpdate(*in.update)
	}
	if in.peer.ID != 0 {
		if len(l.knownPeers) >= maxKnownPeers {
			clear(l.knownPeers)
		}
		l.knownPeers[in.peer.ID] = in.peer
	}
}

// lookupPeer returns the address of a member; false if it is not known.
func (l *loop) lookupPeer(id uint64) (link.Peer, bool) {
	if l.view != nil {
		if m, ok := l.view.Member(id); ok {
			return link.Peer{ID: m.ID, Addr: m.Addr}, true
		}
	}
	p, ok := l.knownPeers[id]
	return p, ok
}

// sendInput passes the result of a call to the loop; it gives up when ctx is done.
func (l *loop) sendInput(in input) {
	select {
	case l.inputs <- in:
	case <-l.ctx.Done():
	}
}
