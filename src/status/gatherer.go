package status

import (
	"context"
	"slices"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	fanout       = 8               // members that one daemon asks directly
	fleetTimeout = 4 * time.Second // longest wait for the whole fleet
	// innerShare of a daemon's own time is what it gives to those it asks, so that it can still answer for them.
	innerShare = 0.6
)

// Gatherer asks members for their status, each of them asking a part of the others.
type Gatherer struct {
	Self      func() wire.MemberStatus
	View      func() *roster.View
	Exchanger link.Exchanger
}

// Fleet returns the status of every member in the roster.
func (g *Gatherer) Fleet(ctx context.Context, below uint64) wire.StatusReply {
	self := g.Self()
	members := []uint64{self.ID}
	for _, m := range g.View().Members {
		if m.ID != self.ID {
			members = append(members, m.ID)
		}
	}
	return g.gather(ctx, wire.StatusRequest{Members: members, Below: below, TimeoutMS: fleetTimeout.Milliseconds()})
}

// Serve answers a question that another daemon has sent as a wire.StatusRequest.
func (g *Gatherer) Serve(ctx context.Context, payload []byte) ([]byte, error) {
	var req wire.StatusRequest
	if _, err := req.UnmarshalMsg(payload); err != nil {
		return nil, problem.Wrap(problem.Protocol, err, "status request", "not msgpack", "run the same version on both daemons")
	}
	reply := g.gather(ctx, req)
	return reply.MarshalMsg(nil)
}

// gather answers for this daemon, the first member, and asks the heads of equal parts of the rest.
func (g *Gatherer) gather(ctx context.Context, req wire.StatusRequest) wire.StatusReply {
	out := wire.StatusReply{}
	add(&out, g.Self(), req.Below)
	if len(req.Members) < 2 {
		return out
	}
	parts := split(req.Members[1:], fanout)
	replies := make([]wire.StatusReply, len(parts))
	pool := pond.NewPool(fanout)
	inner := wire.StatusRequest{Below: req.Below, TimeoutMS: int64(float64(req.TimeoutMS) * innerShare)}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMS)*time.Millisecond)
	defer cancel()
	for i, part := range parts {
		pool.Submit(func() { replies[i] = g.askPart(ctx, part, inner) })
	}
	pool.StopAndWait()
	for _, r := range replies {
		merge(&out, r)
	}
	return out
}

// askPart asks the first member of a part to gather it; when that fails the next one is asked.
func (g *Gatherer) askPart(ctx context.Context, part []uint64, req wire.StatusRequest) wire.StatusReply {
	out := wire.StatusReply{}
	for len(part) > 0 {
		req.Members = part
		reply, err := g.ask(ctx, req)
		if err == nil {
			merge(&out, reply)
			return out
		}
		add(&out, g.unreachable(part[0]), req.Below)
		part = part[1:]
		if ctx.Err() != nil {
			for _, id := range part {
				add(&out, g.unreachable(id), req.Below)
			}
			return out
		}
	}
	return out
}

func (g *Gatherer) ask(ctx context.Context, req wire.StatusRequest) (wire.StatusReply, error) {
	var reply wire.StatusReply
	m, ok := g.View().Member(req.Members[0])
	if !ok {
		return reply, problem.New(problem.NotFound, "roster", "member has gone", "ask again")
	}
	b, err := req.MarshalMsg(nil)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMS)*time.Millisecond)
	defer cancel()
	b, err = g.Exchanger.Exchange(ctx, link.Peer{ID: m.ID, Addr: m.Addr}, link.KindStatus, b)
	if err != nil {
		return reply, err
	}
	_, err = reply.UnmarshalMsg(b)
	return reply, err
}

func (g *Gatherer) unreachable(id uint64) wire.MemberStatus {
	m, _ := g.View().Member(id)
	return wire.MemberStatus{ID: id, Service: m.Service, Domain: m.Domain, Region: m.Region, Proxy: m.Proxy, Leaving: m.State == wire.StateLeaving, Unreachable: true}
}

func add(out *wire.StatusReply, m wire.MemberStatus, below uint64) {
	out.Asked++
	if !m.Unreachable && below > 0 && m.Version >= below {
		out.InForce++
		return
	}
	out.Members = append(out.Members, m)
}

func merge(out *wire.StatusReply, r wire.StatusReply) {
	out.Asked += r.Asked
	out.InForce += r.InForce
	out.Members = append(out.Members, r.Members...)
}

func split(ids []uint64, n int) [][]uint64 {
	size := (len(ids) + n - 1) / n
	return slices.Collect(slices.Chunk(ids, size))
}
