package deposit

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/trace"
)

// run steps the core with an event and executes its store calls until it answers; nil if there is no answer.
func (g *Guard) run(ctx context.Context, e Event) Action {
	for {
		answer, storeCall := splitActions(g.step(e))
		if answer == nil && storeCall == nil {
			return nil
		}
		if answer != nil {
			g.runInBackground(storeCall)
			return answer
		}
		e = g.execute(ctx, storeCall)
	}
}

// splitActions returns the answer and the store call among the actions of a step, each nil if there is none.
func splitActions(actions []Action) (answer, storeCall Action) {
	for _, a := range actions {
		switch a.(type) {
		case Decide, Close:
			answer = a
		case ReadSlot, SwapSlot:
			storeCall = a
		}
	}
	return answer, storeCall
}

// runInBackground executes the store call of a background release and the calls that follow from it; it drops the call if the queue is full.
func (g *Guard) runInBackground(a Action) {
	if a == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.core.Timeout)
	_, ok := g.releasePool.TrySubmit(func() {
		defer cancel()
		g.run(ctx, g.execute(ctx, a))
	})
	if !ok {
		cancel()
	}
}

func (g *Guard) step(e Event) []Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	era := g.core.settling.era
	actions := g.core.Step(now, e)
	g.recordStep(now, e, actions)
	g.observeEra(era, g.core.settling.era, g.core.memory.order.Len())
	return actions
}

// execute makes a store call and returns its answer as an event.
func (g *Guard) execute(ctx context.Context, a Action) Event {
	switch a := a.(type) {
	case ReadSlot:
		return g.readSlot(ctx, a)
	case SwapSlot:
		return g.swapSlot(ctx, a)
	}
	return nil
}

func (g *Guard) readSlot(ctx context.Context, a ReadSlot) Event {
	e := SlotRead{Call: a.Call, Result: ResultUnavailable}
	if !g.sleep(ctx, a.Delay) {
		return e
	}
	entry, err := g.Store.Get(ctx, a.Key)
	e.Revision = kv.JoinRevision(entry.Era, 0) // of a key that does not exist
	if storeClock, ok := g.Store.(kv.Clock); ok {
		e.Skew = storeClock.Skew()
	}
	switch {
	case err == nil:
		e.Revision = entry.Revision
		rest, err := e.Slot.UnmarshalMsg(entry.Value)
		if err == nil && len(rest) == 0 {
			e.Result = ResultOK
		} else {
			g.Log.Error(err, "cannot decode claim slot; refusing requests whose keys belong to it", "key", a.Key, "remedy", "restore this key in the store, or delete it a day after its last write")
		}
	case errors.Is(err, problem.NotFound):
		e.Result = ResultMissing
	}
	return e
}

func (g *Guard) swapSlot(ctx context.Context, a SwapSlot) Event {
	e := SlotSwapped{Call: a.Call, Result: ResultUnsure}
	value, err := a.Slot.MarshalMsg(nil)
	if err != nil {
		e.Result = ResultUnavailable
		return e
	}
	e.Revision, err = g.Store.Swap(ctx, a.Key, a.ExpectedRevision, value)
	switch {
	case err == nil:
		e.Result = ResultOK
	case errors.Is(err, problem.Unsure): // checked first, since the error may wrap another kind as well
	case errors.Is(err, problem.Conflict):
		e.Result = ResultConflict
	case errors.Is(err, problem.Unavailable), errors.Is(err, problem.Usage):
		e.Result = ResultUnavailable
	}
	return e
}

// recordStep writes a step to the trace, if there is one.
func (g *Guard) recordStep(now time.Time, e Event, actions []Action) {
	if g.Record == nil {
		return
	}
	if g.Record.Header.Settings == nil {
		g.Record.Header.Core = CoreName
		g.Record.Header.Settings = encodeSettings(g.core, now)
	}
	out, err := trace.Outcomes(actions)
	if err == nil {
		// Claims carry wall-clock timestamps, so the trace uses the wall clock too.
		g.Record.Record(now.Round(0), e, out)
	}
}
