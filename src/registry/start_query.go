package registry

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	startQueryPeers = 2                      // peers that a new agent asks, in case one does not answer or has just started too
	startQueryTime  = 300 * time.Millisecond // after which a new agent goes on without their answers
)

// startQuery is the question of an agent that has just listed the store for the first time: the
// store may have come back from a copy that lacks a configuration or tombstones which its peers
// know.
type startQuery struct {
	askedAt time.Time // zero before the first listing
	pending int       // peers that have not answered
}

// isDone reports whether the agent knows what its peers know, or can wait no longer for it.
func (q *startQuery) isDone(now time.Time) bool {
	return !q.askedAt.IsZero() && (q.pending <= 0 || now.Sub(q.askedAt) >= startQueryTime)
}

// queryAtStart queries a few random members after the first listing.
func (c *Core) queryAtStart(now time.Time) []Action {
	if !c.start.askedAt.IsZero() {
		return nil
	}
	c.start.askedAt = now
	peers := slices.DeleteFunc(c.Members(), func(m wire.Member) bool { return m.ID == c.ID || c.Keys.memberKey(m.Addr) == c.EntryKey })
	c.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var out []Action
	c.start.pending = min(startQueryPeers, len(peers))
	for _, m := range peers[:c.start.pending] {
		out = append(out, QueryPeer{Member: m, Start: true})
	}
	return out
}
