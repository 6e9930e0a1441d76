package dispatch

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// departure is the mark of a server that has refused a call as leaving or replaced. It ends when a
// table shows another state or a later start of the server. While tables go on showing it in use, the
// refusal may have come later than the entry that followed it, so that the server is tried again, after
// a time that doubles with each further refusal: by one call at a time, at first one that may be repeated.
type departure struct {
	until   time.Time // no call is sent before; zero for no mark
	trial   bool      // it is to be tried again
	anyCall time.Time // from which on a call that may run once only may be the trial, too: it has not run if it is refused so
	refused int       // refusals in a row
}

// isDeparture reports whether a refusal says that the backend server is leaving or has been replaced.
func isDeparture(r wire.RefusalReason) bool {
	return r == wire.ReasonLeaving || r == wire.ReasonWrongMember
}

// startOf returns the start of the backend server that a refusal speaks of, zero if it is unknown.
func startOf(r *wire.Refusal) time.Time {
	if r.StartedAt <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.StartedAt)
}

// markDeparted marks the server of an attempt, unless a table has shown a later start than the
// refusal speaks of, or, if it names none, than was known when the attempt was sent.
func (c *Core) markDeparted(now time.Time, a *attemptState, startedAt time.Time) {
	srv := a.server
	if startedAt.IsZero() {
		startedAt = a.backendStart
	}
	if srv.StartedAt.After(startedAt) {
		return
	}
	d := &srv.departure
	if !d.isMarked(now) {
		d.until = now.Add(min(c.Settings.DepartureTime<<min(d.refused, 10), max(c.Settings.DepartureTime, c.Settings.MaxEjectionTime)))
		d.trial = false
		d.refused++
		c.departed = append(c.departed, srv)
	}
	if svc := c.services[srv.Service]; svc != nil {
		svc.limitEjected(now, c.Settings.MaxEjectedShare)
	}
}

// isMarked reports whether no call may be sent to the server.
func (d *departure) isMarked(now time.Time) bool { return now.Before(d.until) }

// expireDepartures begins the trials of the servers whose marks have expired, and lets any call be the
// trial of those that have had none for DepartureTime.
func (c *Core) expireDepartures(now time.Time) {
	c.departed = slices.DeleteFunc(c.departed, func(srv *server) bool {
		d := &srv.departure
		if d.isMarked(now) {
			return false
		}
		if !d.until.IsZero() {
			d.until, d.trial, d.anyCall = time.Time{}, true, now.Add(c.Settings.DepartureTime)
		}
		if now.Before(d.anyCall) {
			return false
		}
		d.anyCall = time.Time{}
		return true
	})
}

// end removes the mark.
func (d *departure) end() { *d = departure{} }

// endTrial removes the mark of the server if the attempt was the trial of it. What was sent before says
// nothing: a server that is leaving still answers it.
func (a *attemptState) endTrial() {
	if a.trial {
		a.server.departure.end()
	}
}

// takesCall reports whether a call may be sent as far as the mark is concerned.
func (s *server) takesCall(p *Policy) bool {
	return !s.departure.trial || s.inFlight == 0 && (p.Idempotent || s.departure.anyCall.IsZero())
}
