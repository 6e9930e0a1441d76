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

const maxSeen = 256 // peers remembered outside the view

// loop is the goroutine that steps the core and carries its actions out.
type loop struct {
	*Distributor
	ctx       context.Context
	core      *Core
	holder    holder
	storePool pond.Pool
	peerPool  pond.Pool

	view    *roster.View
	members []Member
	seen    map[uint64]link.Peer // peers that a probe or message came from
	head    ledger.Notice
	lease   *kv.Lease
	queue   []input // results of the actions just carried out
}

// run steps the core until ctx is over.
func (l *loop) run() {
	views := time.NewTicker(viewPeriod)
	defer views.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	l.step(input{event: Tick{}})
	for {
		l.lookAtView()
		l.setTimer(timer)
		select {
		case in := <-l.inputs:
			l.step(in)
		case <-timer.C:
			l.step(input{event: Tick{}})
		case <-views.C:
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

// lookAtView tells the core of changed members.
func (l *loop) lookAtView() {
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

// step lets the core decide on an event and on the results of its actions.
func (l *loop) step(in input) {
	l.queue = append(l.queue, in)
	for len(l.queue) > 0 {
		in := l.queue[0]
		l.queue = l.queue[1:]
		l.note(in)
		if in.fetch != nil {
			l.apply(*in.fetch, SourceStore, 0)
			continue
		}
		now := l.now()
		actions := l.core.Step(now, in.event)
		if l.Record != nil {
			outcome, _ := trace.Outcomes(actions)
			l.Record.Record(now, in.event, outcome)
		}
		for _, a := range actions {
			l.carryOut(a, in)
		}
	}
	l.tellReader()
}

// note keeps what came along with an event.
func (l *loop) note(in input) {
	if in.notice != nil {
		l.head = *in.notice
	}
	if in.lease != nil {
		l.lease = in.lease
	}
	if _, pushed := in.event.(PushReceived); pushed && in.update != nil {
		l.holder.remember(*in.update)
	}
	if in.peer.ID != 0 {
		if len(l.seen) >= maxSeen {
			clear(l.seen)
		}
		l.seen[in.peer.ID] = in.peer
	}
}

// peer returns where a member is reached.
func (l *loop) peer(id uint64) (link.Peer, bool) {
	if l.view != nil {
		if m, ok := l.view.Member(id); ok {
			return link.Peer{ID: m.ID, Addr: m.Addr}, true
		}
	}
	p, ok := l.seen[id]
	return p, ok
}

// send hands the result of a call to the goroutine that steps the core.
func (l *loop) send(in input) {
	select {
	case l.inputs <- in:
	case <-l.ctx.Done():
	}
}
