package roster

import (
	"maps"
	"slices"

	"github.com/yuccaport/yuccaport/src/wire"
)

// sweep removes expired state and raises alarms, once per sweepPeriod.
func (c *Core) sweep() {
	if c.now.Before(c.nextSweepAt) {
		return
	}
	c.nextSweepAt = c.now.Add(sweepPeriod)
	c.expireIndirectPings()
	c.expireTombstones()
	c.raiseAlarms()
}

func (c *Core) expireIndirectPings() {
	for seq, r := range c.indirectPings {
		if c.now.After(r.expiresAt) {
			delete(c.indirectPings, seq)
		}
	}
}

// expireTombstones removes dead members after tombstoneTTL. While there are more than maxTombstones it also removes
// younger ones, except lost members.
func (c *Core) expireTombstones() {
	excess := len(c.ids) - len(c.live) - maxTombstones
	c.ids = slices.DeleteFunc(c.ids, func(id uint64) bool {
		e := c.members[id]
		if !e.dead() {
			return false
		}
		age := c.now.Sub(e.stateChangedAt)
		if age >= lostHoldTime && age < lostHoldTime+2*sweepPeriod {
			c.viewDirty = true // if the view held this member as lost, it no longer does
		}
		if age < tombstoneTTL && (excess <= 0 || e.lost()) {
			return false
		}
		excess--
		c.lost = removeID(c.lost, id)
		delete(c.members, id)
		return true
	})
}

// raiseAlarms raises one alarm for the members of a failure domain that were lost since its last alarm.
func (c *Core) raiseAlarms() {
	for _, domain := range slices.Sorted(maps.Keys(c.deaths)) {
		if at, ok := c.lastAlarmAt[domain]; ok && c.now.Sub(at) < alarmInterval {
			continue
		}
		died := slices.DeleteFunc(c.deaths[domain], func(id uint64) bool { e := c.members[id]; return e == nil || !e.dead() })
		delete(c.deaths, domain)
		if len(died) == 0 {
			continue // all have come back
		}
		c.lastAlarmAt[domain] = c.now
		remaining := 0
		for _, id := range c.live {
			if c.members[id].m.Domain == domain {
				remaining++
			}
		}
		c.emit(Alarm{Domain: domain, Died: len(died), Remaining: remaining, Sample: died[:min(len(died), alarmSampleSize)]})
	}
}

// View returns the members to select from: all that are not dead, this one included, and some lost ones as suspects. For
// lostHoldTime after their death, enough lost members of a service stay in the view that at most half of it is removed.
func (c *Core) View() *View {
	ms := c.liveMembers()
	live := map[string]int{}
	for _, m := range ms {
		live[m.Service]++
	}
	lost := map[string][]wire.Member{}
	for _, id := range c.ids {
		e := c.members[id]
		if e.lost() && c.now.Sub(e.stateChangedAt) < lostHoldTime {
			lost[e.m.Service] = append(lost[e.m.Service], e.m)
		}
	}
	for service, group := range lost {
		ms = append(ms, heldMembers(group, live[service])...)
	}
	return NewView(c.digest.sum(), ms)
}

// heldMembers returns the lost members that stay in the view as suspects, so that at most half of a service is removed.
func heldMembers(lost []wire.Member, live int) []wire.Member {
	n := len(lost) - (len(lost)+live)/2
	if n <= 0 {
		return nil
	}
	out := slices.Clone(lost[:n])
	for i := range out {
		out[i].State = wire.StateSuspect
	}
	return out
}

// Lost returns the lost members (see the package comment) that are still remembered, by ascending ID.
func (c *Core) Lost() []wire.Member {
	var out []wire.Member
	for _, id := range c.ids {
		if e := c.members[id]; e.lost() {
			out = append(out, e.m)
		}
	}
	return out
}
