package quotamodel

import (
	"time"

	"github.com/yuccaport/yuccaport/src/tenants"
	"github.com/yuccaport/yuccaport/src/wire"
)

// agent is one process at a position of the fleet.
type agent struct {
	fleet       *Fleet
	position    int
	member      wire.Member
	core        *tenants.Core
	members     []wire.Member // as it knows them
	isDead      bool
	frozenUntil time.Time
	dueAt       time.Time // of the earliest Due scheduled
	waiting     []*request
}

// do runs f now, or after the thaw if the agent is frozen; never once the agent is dead.
func (a *agent) do(f func()) {
	switch {
	case a.isDead:
	case a.fleet.now.Before(a.frozenUntil):
		a.fleet.at(a.frozenUntil, func() { a.do(f) })
	default:
		f()
	}
}

// due passes Due to the core and schedules the next.
func (a *agent) due() {
	f := a.fleet
	for _, action := range a.core.Step(f.now, tenants.Due{Members: a.members}) {
		switch s := action.(type) {
		case tenants.Send:
			f.send(a, s)
		}
	}
	a.schedule(a.core.Delay(f.now))
	a.retry()
}

func (a *agent) schedule(d time.Duration) {
	at := a.fleet.now.Add(d)
	if a.dueAt.After(a.fleet.now) && !at.Before(a.dueAt) {
		return
	}
	a.dueAt = at
	a.fleet.at(at, func() {
		a.do(func() {
			if !a.fleet.now.Before(a.dueAt) {
				a.due()
			}
		})
	})
}

// finish passes the result of a report to the core.
func (a *agent) finish(e tenants.Event) {
	a.do(func() {
		a.core.Step(a.fleet.now, e)
		a.retry()
		a.due()
	})
}

// take decides about a request.
func (a *agent) take(r *request) {
	f := a.fleet
	v, retryAfter := a.core.Take(f.now, r.tenant, false)
	if v == tenants.Pending {
		a.waiting = append(a.waiting, r)
		a.core.Wait(r.tenant, 1)
		f.at(f.now.Add(f.MaxWait), func() { a.do(func() { a.giveUp(r) }) })
	} else {
		f.decide(a, r, v != tenants.Limited, retryAfter)
	}
	if a.core.IsUrgent() {
		a.due()
	}
}

// retry decides again about the requests that wait.
func (a *agent) retry() {
	kept := a.waiting[:0]
	for _, r := range a.waiting {
		v, retryAfter := a.core.Take(a.fleet.now, r.tenant, true)
		if v == tenants.Pending {
			kept = append(kept, r)
			continue
		}
		a.core.Wait(r.tenant, -1)
		a.fleet.decide(a, r, v != tenants.Limited, retryAfter)
	}
	a.waiting = kept
}

// giveUp refuses a request that has waited too long.
func (a *agent) giveUp(r *request) {
	for i, w := range a.waiting {
		if w == r {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			a.core.Wait(r.tenant, -1)
			a.fleet.decide(a, r, false, a.core.Refuse(a.fleet.now, r.tenant))
			return
		}
	}
}
