package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
)

// Keyspace is a kv.Store in memory, with faults.
type Keyspace struct {
	Now             func() time.Time // clock of leases and rates, nil for time.Now
	ReadsPerSecond  int              // 0 for no limit
	WritesPerSecond int              // 0 for no limit

	mu       sync.Mutex
	faults   Faults
	rand     *rand.Rand
	calls    Calls
	reads    *rate.Limiter
	writes   *rate.Limiter
	era      uint64 // rises with each Restore
	revision uint64 // grows with each write of any key; without the era
	entries  map[string]versions
	leases   map[string]grant
	changed  chan struct{} // closed at the next write or change of faults
}

// versions holds the newest entry of a key and the one before it.
type versions struct{ now, before kv.Entry }

var _ kv.Store = (*Keyspace)(nil)

// SetFaults replaces the faults and wakes the waiting watches.
func (k *Keyspace) SetFaults(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setup()
	k.faults = f
	k.rand = rand.New(rand.NewPCG(f.Seed, f.Seed))
	k.wake()
}

// Faults returns the faults now in force.
func (k *Keyspace) Faults() Faults {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.faults
}

// Calls returns the counts of the calls so far.
func (k *Keyspace) Calls() Calls {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// Len returns the number of keys that exist.
func (k *Keyspace) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, v := range k.entries {
		if v.now.Revision != 0 {
			n++
		}
	}
	return n
}

// Get implements kv.Store.
func (k *Keyspace) Get(ctx context.Context, key string) (kv.Entry, error) {
	var e kv.Entry
	err := k.call(ctx, false, func(time.Time) error {
		e = k.entries[key].now
		if k.draw(k.faults.StaleReads) {
			e = k.entries[key].before
		}
		e = k.inEra(e)
		if e.Revision == 0 {
			return problem.New(problem.NotFound, key, "no such key", "write it first")
		}
		return nil
	})
	return e, err
}

// Swap implements kv.Store.
func (k *Keyspace) Swap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	if len(value) > kv.MaxValueSize {
		return 0, problem.New(problem.Usage, key, fmt.Sprintf("the value is %d bytes", len(value)),
			fmt.Sprintf("keep values within %d bytes", kv.MaxValueSize))
	}
	value = append([]byte(nil), value...)
	var revision uint64
	err := k.write(ctx, func(time.Time) error {
		if err := k.expect(key, expect); err != nil {
			return err
		}
		k.revision++
		revision = kv.JoinRevision(k.era, k.revision)
		k.put(key, kv.Entry{Key: key, Value: value, Revision: k.revision})
		return nil
	})
	return revision, err
}

// Delete implements kv.Store.
func (k *Keyspace) Delete(ctx context.Context, key string, expect uint64) error {
	return k.write(ctx, func(time.Time) error {
		if err := k.expect(key, expect); err != nil {
			return err
		}
		k.put(key, kv.Entry{})
		return nil
	})
}

// Watch implements kv.Store; an entry of a key that does not exist has revision 0.
func (k *Keyspace) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (kv.Entry, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var e kv.Entry
	err := k.call(ctx, false, func(time.Time) error {
		k.calls.Watches++
		for over := false; ; {
			e = k.inEra(k.entries[key].now)
			e.Key = key
			if k.faults.Down {
				return unavailable("the store went down")
			}
			if (over || e.Revision > after) && !k.faults.SilentWatch {
				return nil
			}
			changed := k.changed
			k.mu.Unlock()
			select {
			case <-changed:
			case <-timer.C:
				over = true
			case <-ctx.Done():
			}
			k.mu.Lock()
			if ctx.Err() != nil {
				return unavailable("the watch was ended by its caller")
			}
		}
	})
	return e, err
}

// inEra returns an entry as an answer shows it, with the current era; mu is held.
func (k *Keyspace) inEra(e kv.Entry) kv.Entry {
	e.Era = k.era
	if e.Revision != 0 {
		e.Revision = kv.JoinRevision(k.era, e.Revision)
	}
	return e
}

// expect refuses a write that was made from another revision; mu is held.
func (k *Keyspace) expect(key string, expect uint64) error {
	have := k.inEra(k.entries[key].now).Revision
	if have == expect || (have == 0 && expect == kv.JoinRevision(k.era, 0)) {
		return nil
	}
	return problem.New(problem.Conflict, key, fmt.Sprintf("at revision %d, not %d", have, expect), "read it again")
}

// put makes e the newest entry of a key; mu is held.
func (k *Keyspace) put(key string, e kv.Entry) {
	k.entries[key] = versions{now: e, before: k.entries[key].now}
	k.wake()
}

// wake lets the waiting watches look again; mu is held.
func (k *Keyspace) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}
