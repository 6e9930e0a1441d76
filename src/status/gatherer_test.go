package status_test

import (
	"context"
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/status"
	"github.com/yuccaport/yuccaport/src/wire"
)

// fleet hands questions straight to the gatherer of the member asked.
type fleet struct {
	nodes map[uint64]*status.Gatherer
	dead  map[uint64]bool
}

func (f *fleet) Exchange(ctx context.Context, to link.Peer, _ link.MessageKind, b []byte) ([]byte, error) {
	if f.dead[to.ID] {
		return nil, problem.New(problem.Unavailable, to.Addr.String(), "connection refused", "")
	}
	return f.nodes[to.ID].Serve(ctx, b)
}

func newFleet(n int, dead ...uint64) *fleet {
	f := &fleet{nodes: map[uint64]*status.Gatherer{}, dead: map[uint64]bool{}}
	var members []wire.Member
	for id := uint64(1); id <= uint64(n); id++ {
		members = append(members, wire.Member{ID: id, Addr: netip.MustParseAddrPort("127.0.0.1:1")})
	}
	v := roster.NewView(0, members)
	for _, id := range dead {
		f.dead[id] = true
	}
	for _, m := range members {
		self := wire.MemberStatus{ID: m.ID, Version: m.ID % 10}
		f.nodes[m.ID] = &status.Gatherer{
			Self:      func() wire.MemberStatus { return self },
			View:      func() *roster.View { return v },
			Exchanger: f,
		}
	}
	return f
}

func TestFleetAnswersForEveryMemberOnce(t *testing.T) {
	tests := map[string]struct {
		n                     int
		dead                  []uint64
		below                 uint64
		asked, inForce, named int
	}{
		"alone":                  {n: 1, asked: 1, named: 1},
		"one level":              {n: 9, asked: 9, named: 9},
		"several levels":         {n: 800, asked: 800, named: 800},
		"dead heads of parts":    {n: 100, dead: []uint64{2, 15, 28, 29}, asked: 100, named: 100},
		"only those below":       {n: 100, below: 9, asked: 100, inForce: 10, named: 90},
		"dead ones below anyway": {n: 100, dead: []uint64{9, 19}, below: 9, asked: 100, inForce: 8, named: 92},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got := newFleet(tc.n, tc.dead...).nodes[1].Fleet(context.Background(), tc.below)
			c.Check(got.Asked, qt.Equals, tc.asked)
			c.Check(got.InForce, qt.Equals, tc.inForce)
			c.Check(got.Members, qt.HasLen, tc.named)
			seen := map[uint64]bool{}
			for _, m := range got.Members {
				c.Check(seen[m.ID], qt.IsFalse)
				seen[m.ID] = true
				c.Check(m.Unreachable, qt.Equals, slices.Contains(tc.dead, m.ID))
			}
		})
	}
}
