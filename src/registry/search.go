package registry

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	searchPeers       = 3                      // members asked at once; each waits for news, so that news passes on through all agents that are cut off
	searchHints       = 2                      // members asked at once besides, because others follow the store through them
	searchInterval    = 200 * time.Millisecond // shortest time between two rounds, for peers that do not wait
	maxWaiting        = 48                     // messages waiting at an agent above which it offers itself as a substitute to no further member, since it serves 64 at once
	storeTestInterval = 5 * time.Second        // between tests, by an agent with a substitute, whether the store serves it again
)

// substitute is a member that reads the store and through which this agent follows it, because the
// store and the readers of its failure domain do not answer this agent.
type substitute struct {
	member    wire.Member   // zero for none
	testedAt  time.Time     // last test whether the store serves this agent
	storeBack chan struct{} // closed by a test that succeeded
}

// searchSource looks for a member that reads the store, for at most timeout, and makes it the
// substitute. It returns false if it finds none. Meanwhile any newer configuration of the members that
// it asks is put in force.
func (f *Follower) searchSource(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for ctx.Err() == nil {
		began := time.Now()
		if m := f.searchRound(ctx); m.ID != 0 {
			f.Log.Info("substitute for the store found", "member", m.ID, "reason", "neither the store nor a reader answers")
			f.substitute = substitute{member: m, testedAt: time.Now(), storeBack: make(chan struct{})}
			return true
		}
		clock.Sleep(ctx, searchInterval-time.Since(began)+rand.N(searchInterval/4))
	}
	return false
}

// searchRound asks a few members at once, and those that they name. It returns the first that reads
// the store.
func (f *Follower) searchRound(ctx context.Context) (found wire.Member) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	members := map[uint64]wire.Member{}
	for _, m := range f.Members() {
		if m.ID != f.ID && m.State == wire.StateAlive {
			members[m.ID] = m
		}
	}
	answers := make(chan searchAnswer, searchPeers+searchHints)
	pending := 0
	ask := func(m wire.Member) {
		delete(members, m.ID)
		pending++
		go func() { answers <- f.searchAt(ctx, m) }()
	}
	for _, m := range f.searchCandidates(members) {
		ask(m)
	}
	for hints := 0; pending > 0; pending-- {
		a := <-answers
		switch m, ok := members[a.source]; {
		case found.ID != 0:
		case a.source == a.member.ID:
			found = a.member
			cancel()
		case ok && hints < searchHints:
			hints++
			ask(m)
		}
	}
	return found
}

// searchCandidates returns random members to ask: most of them of this agent's failure domain, since
// bytes between domains are dearer, and one of any, in case the store refuses the whole domain.
func (f *Follower) searchCandidates(members map[uint64]wire.Member) []wire.Member {
	var near, far, out []wire.Member
	for _, m := range members {
		if m.Domain == f.Domain {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	for _, group := range [][]wire.Member{near, far} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	for len(out) < searchPeers && len(near)+len(far) > 0 {
		if len(near) > 0 && (len(out) < searchPeers-1 || len(far) == 0) {
			out, near = append(out, near[0]), near[1:]
		} else {
			out, far = append(out, far[0]), far[1:]
		}
	}
	return out
}

// searchAnswer is a member's answer to a search, with source 0 if there was none.
type searchAnswer struct {
	member wire.Member
	source uint64
}

// searchAt asks a member, which waits until it has a source or a newer configuration.
func (f *Follower) searchAt(ctx context.Context, m wire.Member) searchAnswer {
	ctx, cancel := context.WithTimeout(ctx, readerWait+peerTimeout+f.MaxTransferTime)
	defer cancel()
	config, version := f.config()
	req := wire.RegistryRequest{Config: config, ConfigVersion: version, WaitMS: readerWait.Milliseconds(), Search: true}
	if f.hasListedOnce() {
		req.After = math.MaxUint64 // configuration only; an agent that started during an outage needs all that the member knows
	}
	r, err := f.exchange(ctx, m, req, readerWait+answerTimeout)
	if err != nil {
		return searchAnswer{member: m}
	}
	f.step(PeerReplied{Reply: r})
	return searchAnswer{m, r.Source}
}

// hasSubstitute reports whether a substitute is followed. Where the store serves this agent again, it
// goes back to its reader or, if it is one, to the store.
func (f *Follower) hasSubstitute() bool {
	if f.substitute.member.ID == 0 {
		return false
	}
	select {
	case <-f.substitute.storeBack:
		f.Log.Info("substitute for the store left", "member", f.substitute.member.ID, "reason", "the store answers")
		f.substitute = substitute{}
		for id := range f.failedReaders {
			f.failedReaders[id] = time.Time{}
		}
		return false
	default:
	}
	if time.Since(f.substitute.testedAt) >= storeTestInterval {
		f.substitute.testedAt = time.Now()
		f.testStore(f.substitute.storeBack)
	}
	return true
}

// testStore reads this agent's entry from the store in the background, so that a store that does not
// answer delays nothing, and closes storeBack if that succeeds.
func (f *Follower) testStore(storeBack chan struct{}) {
	f.startQuery(func() {
		ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
		defer cancel()
		if _, _, err := f.Store.List(ctx, f.EntryKey); err == nil {
			close(storeBack)
		}
	})
}
