package tenants

import (
	"encoding/binary"
	"math/bits"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	firstRetry = 2 * time.Second // until a member that has not answered is tried again
	lastRetry  = 32 * time.Second
)

// Selector chooses the granter among the members by rendezvous hashing: the members with the fastest
// links first, then by the hash of their IDs. It is not safe for concurrent use.
type Selector struct {
	failures map[uint64]failure
}

// failure records that a member has not answered.
type failure struct {
	retryAt time.Time
	delay   time.Duration
}

// Find returns the member with an ID if it may be the granter, and false otherwise.
func (s *Selector) Find(now time.Time, members []wire.Member, id uint64) (wire.Member, bool) {
	if id == 0 {
		return wire.Member{}, false
	}
	for i := range members {
		if members[i].ID == id {
			return members[i], s.mayGrant(now, &members[i])
		}
	}
	return wire.Member{}, false
}

// Best returns the best member that may be the granter, and false for none.
func (s *Selector) Best(now time.Time, members []wire.Member) (wire.Member, bool) {
	var best *wire.Member
	for i := range members {
		m := &members[i]
		if s.mayGrant(now, m) && (best == nil || isBetter(m, best)) {
			best = m
		}
	}
	if best == nil {
		return wire.Member{}, false
	}
	return *best, true
}

// mayGrant reports whether a member stays and has not failed to answer lately.
func (s *Selector) mayGrant(now time.Time, m *wire.Member) bool {
	return m.State != wire.StateLeaving && m.State != wire.StateDead && !now.Before(s.failures[m.ID].retryAt)
}

// Failed records that a member has not answered.
func (s *Selector) Failed(now time.Time, id uint64) {
	if s.failures == nil {
		s.failures = map[uint64]failure{}
	}
	f := s.failures[id]
	if now.Before(f.retryAt) {
		return
	}
	f.delay = min(max(2*f.delay, firstRetry), lastRetry)
	f.retryAt = now.Add(f.delay)
	s.failures[id] = f
}

// Heard records that another member has been told of a member: it is tried again soon, since it may
// be reachable from here too.
func (s *Selector) Heard(id uint64) {
	if f, ok := s.failures[id]; ok && f.delay > firstRetry {
		f.retryAt, f.delay = f.retryAt.Add(firstRetry-f.delay), firstRetry
		s.failures[id] = f
	}
}

// HasFailed reports whether a member has not answered when it was last asked.
func (s *Selector) HasFailed(id uint64) bool {
	_, ok := s.failures[id]
	return ok
}

// Answered records that a member has answered.
func (s *Selector) Answered(id uint64) { delete(s.failures, id) }

// Retain forgets members that are gone.
func (s *Selector) Retain(members []wire.Member) {
	if len(s.failures) <= len(members) {
		return
	}
	known := map[uint64]failure{}
	for i := range members {
		if f, ok := s.failures[members[i].ID]; ok {
			known[members[i].ID] = f
		}
	}
	s.failures = known
}

func isBetter(a, b *wire.Member) bool {
	if x, y := bits.Len32(a.LinkMbps), bits.Len32(b.LinkMbps); x != y {
		return x > y
	}
	return rank(a.ID) > rank(b.ID)
}

func rank(id uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], id)
	return xxh3.Hash(b[:])
}
