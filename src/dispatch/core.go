package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Core decides where calls go; it does no I/O and is not safe for use from several goroutines.
type Core struct {
	Settings Settings
	Rand     *rand.Rand

	services map[string][]Member
}

// Step decides on one event; all actions concern the event's own call.
func (c *Core) Step(_ time.Time, e Event) []Action {
	switch e := e.(type) {
	case TableChanged:
		c.services = map[string][]Member{}
		for _, m := range e.Members {
			c.services[m.Service] = append(c.services[m.Service], m)
		}
	case CallArrived:
		return c.arrive(e)
	case AttemptAnswered:
		return []Action{AcceptAnswer{Call: e.Call, Attempt: e.Attempt}}
	case AttemptRefused:
		return []Action{RefuseCall{Call: e.Call, Reason: e.Reason, MayHaveRun: e.MayHaveRun, RetryAfter: e.RetryAfter}}
	case TimerFired:
		return []Action{CancelAttempt{Call: e.Call, Attempt: e.Attempt}, RefuseCall{Call: e.Call, Reason: wire.ReasonTimeout, MayHaveRun: true}}
	case CallerGone:
		return []Action{CancelAttempt{Call: e.Call, Attempt: 1}}
	}
	return nil
}

func (c *Core) arrive(e CallArrived) []Action {
	usable := []Member{}
	for _, m := range c.services[e.Policy.Targets[0].Service] {
		if m.State == wire.StateAlive && m.Ready {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		return []Action{RefuseCall{Call: e.Call, Reason: wire.ReasonNotReady, RetryAfter: time.Second}}
	}
	m := usable[c.Rand.IntN(len(usable))]
	timeout := min(c.Settings.Timeout, e.Left)
	return []Action{
		SetTimer{Call: e.Call, Attempt: 1, Timer: TimerAttempt, After: timeout},
		SendAttempt{Call: e.Call, Attempt: 1, Member: m.ID, Service: m.Service, Timeout: timeout, Reason: ChoiceAny},
	}
}

func (c *Core) explain(_ time.Time, _ *Policy) Explanation { return Explanation{} }
