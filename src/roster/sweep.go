package roster

import (
	"maps"
	"slices"

	"github.com/yuccaport/yuccaport/src/wire"
)

// sweep forgets what is too old and raises alarms, once in a while.
func (c *Core) sweep() {
	if c.now.Before(c.sweepAt) {
		return
	}
	c.sweepAt = c.now.Add(sweepPeriod)
	c.forgetRelays()
	c.forgetDead()
	c.raiseAlarms()
}

func (c *Core) forgetRelays() {
	for seq, r := range c.relays {
		if c.now.After(r.expires) {
			delete(c.relays, seq)
		}
	}
}

// forgetDead drops tombstones that have outlived every cut, and the oldest when there are too many.
func (c *Core) forgetDead() {
	excess := len(c.ids) - len(c.ring) - maxTombstones
	c.ids = slices.DeleteFunc(c.ids, func(id uint64) bool {
		e := c.members[id]
		if !e.dead() {
			return false
		}
		age := c.now.Sub(e.changedAt)
		if age >= holdTime && age < holdTime+2*sweepPeriod {
			c.dirty = true
		}
		if age < tombstoneTime && (excess <= 0 || e.lost()) {
			return false
		}
		excess--
		c.lost = without(c.lost, id)
		delete(c.members, id)
		return true
	})
}

// raiseAlarms tells of deaths, one alarm for those of a failure domain that fall together.
func (c *Core) raiseAlarms() {
	for _, domain := range slices.Sorted(maps.Keys(c.deaths)) {
		if at, ok := c.alarmed[domain]; ok && c.now.Sub(at) < alarmPeriod {
			continue
		}
		died := slices.DeleteFunc(c.deaths[domain], func(id uint64) bool { e := c.members[id]; return e == nil || !e.dead() })
		delete(c.deaths, domain)
		if len(died) == 0 {
			continue // all are back
		}
		c.alarmed[domain] = c.now
		left := 0
		for _, id := range c.ring {
			if c.members[id].m.Domain == domain {
				left++
			}
		}
		c.do(Alarm{Domain: domain, Died: len(died), Remaining: left, Sample: died[:min(len(died), alarmGroup)]})
	}
}

// View returns the members to choose from: all that are not dead, and lost ones of a service that has lost too many.
func (c *Core) View() *View {
	ms := c.alive()
	alive := map[string]int{}
	for _, m := range ms {
		alive[m.Service]++
	}
	lost := map[string][]wire.Member{}
	for _, id := range c.ids {
		e := c.members[id]
		if e.lost() && c.now.Sub(e.changedAt) < holdTime {
			lost[e.m.Service] = append(lost[e.m.Service], e.m)
		}
	}
	for service, l := range lost {
		ms = append(ms, held(l, alive[service])...)
	}
	return NewView(c.digest.sum(), ms)
}

// held returns the lost members that stay in view, as suspects, so that at most half of a service is taken out.
func held(lost []wire.Member, alive int) []wire.Member {
	n := len(lost) - (len(lost)+alive)/2
	if n <= 0 {
		return nil
	}
	out := slices.Clone(lost[:n])
	for i := range out {
		out[i].State = wire.StateSuspect
	}
	return out
}

// Lost returns the members that died without leaving and were not replaced, by ascending ID.
func (c *Core) Lost() []wire.Member {
	var out []wire.Member
	for _, id := range c.ids {
		if e := c.members[id]; e.lost() {
			out = append(out, e.m)
		}
	}
	return out
}
