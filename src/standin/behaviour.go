package standin

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/problem"
)

// call counts a call, applies the faults around do, and runs do with mu held.
func (k *Keyspace) call(ctx context.Context, write bool, do func(now time.Time) error) error {
	slow, err := k.admit(write)
	if err != nil {
		return err
	}
	if !clock.Sleep(ctx, slow) {
		return unavailable("the call was ended by its caller before it was carried out")
	}
	k.mu.Lock()
	err = do(k.now())
	lost := write && err == nil && k.draw(k.faults.LoseAnswers)
	var delay time.Duration
	if k.faults.Reorder {
		delay = time.Duration(k.rand.Int64N(int64(maxReorderDelay)))
	}
	k.mu.Unlock()
	answered := clock.Sleep(ctx, delay)
	if err != nil {
		return err
	}
	if lost || (write && !answered) {
		return problem.New(problem.Unsure, "", "the answer to a write was lost", "read the key again")
	}
	if !answered {
		return unavailable("the call was ended by its caller")
	}
	return nil
}

func (k *Keyspace) write(ctx context.Context, do func(now time.Time) error) error {
	return k.call(ctx, true, do)
}

// admit counts a call and refuses it when the store is down or over its rate.
func (k *Keyspace) admit(write bool) (slow time.Duration, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setup()
	limit := k.reads
	if write {
		k.calls.Writes++
		limit = k.writes
	} else {
		k.calls.Reads++
	}
	if k.faults.Down {
		k.calls.Refused++
		return 0, unavailable("the store is down")
	}
	if limit != nil && !limit.AllowN(k.now(), 1) {
		k.calls.Refused++
		return 0, unavailable("over rate")
	}
	return k.faults.Slow, nil
}

// setup makes the parts that the zero value lacks; mu is held.
func (k *Keyspace) setup() {
	if k.entries != nil {
		return
	}
	k.entries = map[string]versions{}
	k.leases = map[string]grant{}
	k.changed = make(chan struct{})
	k.rand = rand.New(rand.NewPCG(0, 0))
	k.reads = limiter(k.ReadsPerSecond)
	k.writes = limiter(k.WritesPerSecond)
}

// limiter allows n calls a second and as many at once, nil for no limit.
func limiter(n int) *rate.Limiter {
	if n <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(n), n)
}

func (k *Keyspace) now() time.Time {
	if k.Now != nil {
		return k.Now()
	}
	return time.Now()
}

// draw is true in the given share of its calls; mu is held.
func (k *Keyspace) draw(share float64) bool {
	return share > 0 && k.rand.Float64() < share
}

func unavailable(what string) error {
	return problem.New(problem.Unavailable, "", what, "try again later")
}
