package deposit

import (
	"context"
	"errors"
	"time"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/trace"
)

// drive steps the core until it answers the event.
func (g *Guard) drive(ctx context.Context, e Event) Action {
	for {
		answer, next := split(g.step(e))
		if answer == nil && next == nil {
			return nil
		}
		if answer != nil {
			g.background(next)
			return answer
		}
		e = g.perform(ctx, next)
	}
}

// split parts the actions of a step into its answer and its store call.
func split(actions []Action) (answer, next Action) {
	for _, a := range actions {
		switch a.(type) {
		case Decide, Close:
			answer = a
		case ReadSlot, SwapSlot:
			next = a
		}
	}
	return answer, next
}

// background goes on with a store call for which nobody waits.
func (g *Guard) background(a Action) {
	if a == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.core.Timeout)
	_, ok := g.cleaners.TrySubmit(func() {
		defer cancel()
		g.drive(ctx, g.perform(ctx, a))
	})
	if !ok {
		cancel()
	}
}

func (g *Guard) step(e Event) []Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	actions := g.core.Step(now, e)
	g.record(now, e, actions)
	return actions
}

// perform carries out a store call and returns its answer as an event.
func (g *Guard) perform(ctx context.Context, a Action) Event {
	switch a := a.(type) {
	case ReadSlot:
		return g.read(ctx, a)
	case SwapSlot:
		return g.swap(ctx, a)
	}
	return nil
}

func (g *Guard) read(ctx context.Context, a ReadSlot) Event {
	e := SlotRead{Call: a.Call, Result: ResultUnavailable}
	if !clock.Sleep(ctx, a.Delay) {
		return e
	}
	entry, err := g.Store.Get(ctx, a.Key)
	if s, ok := g.Store.(kv.Clock); ok {
		e.Skew = s.Skew()
	}
	switch {
	case err == nil:
		e.Revision = entry.Revision
		rest, err := e.Slot.UnmarshalMsg(entry.Value)
		if err == nil && len(rest) == 0 {
			e.Result = ResultOK
		} else {
			g.Log.Error(err, "claims unreadable, payments refused", "key", a.Key, "remedy", "restore this key of the store, or delete it a day after the last payment")
		}
	case errors.Is(err, problem.NotFound):
		e.Result = ResultMissing
	}
	return e
}

func (g *Guard) swap(ctx context.Context, a SwapSlot) Event {
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
	case errors.Is(err, problem.Unsure): // whatever its cause is
	case errors.Is(err, problem.Conflict):
		e.Result = ResultConflict
	case errors.Is(err, problem.Unavailable), errors.Is(err, problem.Usage):
		e.Result = ResultUnavailable
	}
	return e
}

// record writes a step to the trace.
func (g *Guard) record(now time.Time, e Event, actions []Action) {
	if g.Record == nil {
		return
	}
	if g.Record.Header.Settings == nil {
		g.Record.Header.Core = CoreName
		g.Record.Header.Settings = settingsOf(g.core, now)
	}
	out, err := trace.Outcomes(actions)
	if err == nil {
		// Claims carry wall clock stamps, so the trace counts by the wall clock too.
		g.Record.Record(now.Round(0), e, out)
	}
}
