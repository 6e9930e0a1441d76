package quarantine

import "time"

const (
	quarantineThreshold = 3                // crashes not cleared from which a request is quarantined
	suspectTime         = 10 * time.Minute // since the last crash, after which fewer crashes are forgotten
	quarantineTime      = 24 * time.Hour   // since the last crash, after which a request is no longer quarantined
	maxSuspects         = 1024             // requests; beyond it, those with the earliest last crash are forgotten, and those that are not quarantined first
	maxCrashes          = 8                // kept of a request

	burstWindow        = 500 * time.Millisecond // crashes within it may have one cause, such as a loss of power, and say little about the requests
	earlyProbeDelay    = time.Second            // from the last crash to the first probe, if all crashes were within burstWindow or another request shares them
	probeRetryInterval = 2 * time.Second        // after the store has not answered a claim
	minRetryAfter      = 2 * time.Second        // told to callers of a request that is quarantined
	maxRetryAfter      = time.Minute
	maxAnswerWait      = 10 * time.Second // for a request that had been answered before to be answered again, and for a probe
)

// probeDelays are the times from the last crash to the first, second, ... probe. After the last
// probe a request stays quarantined.
var probeDelays = []time.Duration{10 * time.Second, time.Minute}

// Core knows under which requests backend servers have crashed, and decides which requests are set
// aside. Cores that have been told the same crashes decide the same. It does no I/O and is not safe
// for concurrent use.
//
// A request is quarantined after quarantineThreshold crashes. A complete answer to it, anywhere
// after the crash, clears it: what ran beside the cause, as requests that many callers send do, is answered
// by the next backend server. A request that had been answered before is quarantined only once it
// has had the time to be answered again.
type Core struct {
	suspects  map[uint64]*suspect
	pending   map[uint64]struct{} // suspects that have crashed often enough and may still be answered
	durations durations           // at the backend server beside this daemon

	probing      uint64 // content of the probe that runs at that server, 0 for none; no other one may run beside it
	probingUntil time.Time
	digest       uint64
	expiredAt    time.Time // when expired crashes were last forgotten
}

// Step processes an event and returns the actions to carry out.
func (c *Core) Step(now time.Time, e Event) []Action {
	if c.suspects == nil {
		c.suspects, c.pending = map[uint64]*suspect{}, map[uint64]struct{}{}
	}
	c.expire(now)
	var out []Action
	switch e := e.(type) {
	case Crashed:
		crashes := make([]Crash, 0, len(e.Contents))
		for _, content := range e.Contents {
			crashes = append(crashes, Crash{ID: e.ID, Content: content, Instance: e.Instance, Time: now, Usual: c.durations.usual(content)})
		}
		c.probing = 0
		c.add(crashes)
		out = append(out, Broadcast{Crashes: crashes})
	case Answered:
		if e.Content == c.probing {
			c.probing = 0
		}
		c.durations.add(e.Content, e.Took)
		out = c.clear(e.Content)
	case Released:
		out = c.clear(e.Content)
	case Received:
		c.add(e.Crashes)
		for _, p := range e.Probes {
			c.addProbe(now, p)
		}
	case ProbeClaimed:
		c.addProbe(now, e.Probe)
		if e.Own {
			c.probing, c.probingUntil = e.Content, now.Add(maxAnswerWait)
			out = []Action{Broadcast{Probes: []Probe{e.Probe}}}
		}
	case ProbeFailed:
		if s := c.suspects[e.Content]; s != nil {
			s.probeRetryAt = now.Add(probeRetryInterval)
		}
	}
	return append(c.judge(now), out...)
}

// Verdict returns whether a request may be sent to a backend server now.
func (c *Core) Verdict(now time.Time, content uint64) Verdict {
	s := c.suspects[content]
	if s == nil || !s.isQuarantined(now) || !now.Before(s.expiry()) {
		return Allowed{}
	}
	number, at, ok := c.nextProbe(content)
	switch {
	case !ok:
		return Refused{RetryAfter: maxRetryAfter}
	case now.Before(at):
		return Refused{RetryAfter: min(max(minRetryAfter, at.Sub(now)), maxRetryAfter)}
	case c.probing != 0 && c.probing != content && now.Before(c.probingUntil):
		return Refused{RetryAfter: minRetryAfter}
	}
	return ProbeDue{Number: number}
}

// IsSuspect reports whether a backend server has crashed under a request that is not cleared.
func (c *Core) IsSuspect(content uint64) bool { return c.crashCount(content) > 0 }

// IsRepeated reports whether more than one backend server has crashed under a request that is not
// cleared.
func (c *Core) IsRepeated(content uint64) bool { return c.crashCount(content) > 1 }

// crashCount returns the number of crashes under a request that are not cleared.
func (c *Core) crashCount(content uint64) int {
	if s := c.suspects[content]; s != nil {
		return s.crashCount()
	}
	return 0
}

// Digest returns a hash of all known crashes, 0 if there are none.
func (c *Core) Digest() uint64 { return c.digest }

// Crashes returns all known crashes, cleared ones too.
func (c *Core) Crashes() []Crash {
	var out []Crash
	for _, s := range c.suspects {
		out = append(out, s.crashes...)
	}
	return out
}

// Probes returns the last probe of each request that has had any.
func (c *Core) Probes() []Probe {
	var out []Probe
	for content, s := range c.suspects {
		if s.probes > 0 {
			out = append(out, Probe{Content: content, Number: s.probes})
		}
	}
	return out
}

func (c *Core) addProbe(now time.Time, p Probe) {
	if s := c.suspects[p.Content]; s != nil && s.isQuarantined(now) {
		s.probes = max(s.probes, p.Number)
	}
}

// add adds crashes.
func (c *Core) add(crashes []Crash) {
	for _, crash := range crashes {
		if crash.Content == 0 {
			continue
		}
		s := c.suspects[crash.Content]
		if s == nil {
			s = &suspect{}
			c.suspects[crash.Content] = s
		}
		c.digest ^= s.digest()
		s.add(crash)
		c.digest ^= s.digest()
		c.pending[crash.Content] = struct{}{}
	}
	c.limitSuspects()
}

// judge returns Quarantined for each pending request that is newly quarantined, and Cleared for each
// that no longer is.
func (c *Core) judge(now time.Time) []Action {
	var out []Action
	for content := range c.pending {
		s := c.suspects[content]
		if s == nil {
			delete(c.pending, content)
			continue
		}
		switch isQuarantined := s.isQuarantined(now); {
		case isQuarantined && !s.quarantined:
			s.quarantined = true
			out = append(out, Quarantined{Content: content, Crashes: s.uncleared()})
		case s.quarantined && !isQuarantined:
			s.quarantined, s.probes, s.probeRetryAt = false, 0, time.Time{}
			out = append(out, Cleared{Content: content})
		}
		if s.quarantined || !s.hasCrashedOften() {
			delete(c.pending, content)
		}
	}
	return out
}

// clear clears all crashes under a request.
func (c *Core) clear(content uint64) []Action {
	s := c.suspects[content]
	if s == nil {
		return nil
	}
	crashes := s.uncleared()
	if len(crashes) == 0 {
		return nil
	}
	for i := range crashes {
		crashes[i].Cleared = true
	}
	c.add(crashes)
	return []Action{Broadcast{Crashes: crashes}}
}

// nextProbe returns the number of the next probe of a suspect and the time at which it is due; it
// reports false if there is none.
//
// Of requests that share all crashes, one at most is likely to be the cause, so that they are probed
// sooner.
func (c *Core) nextProbe(content uint64) (int, time.Time, bool) {
	s := c.suspects[content]
	if s.probes >= len(probeDelays) {
		return 0, time.Time{}, false
	}
	delay := probeDelays[s.probes]
	switch shared := c.isShared(content); {
	case s.probes == 0 && (shared || s.isBurst()):
		delay = earlyProbeDelay
	case shared:
		delay = probeDelays[0]
	}
	at := s.lastCrash().Add(delay)
	if at.Before(s.probeRetryAt) {
		at = s.probeRetryAt
	}
	return s.probes + 1, at, true
}

// isShared reports whether another request may be the cause of all crashes under a suspect.
func (c *Core) isShared(content uint64) bool {
	s := c.suspects[content]
	for other, o := range c.suspects {
		if other != content && o.mayExplain(s) {
			return true
		}
	}
	return false
}

// expire forgets expired crashes, once a second.
func (c *Core) expire(now time.Time) {
	if now.Sub(c.expiredAt) < time.Second {
		return
	}
	c.expiredAt = now
	for content, s := range c.suspects {
		if !now.Before(s.expiry()) {
			c.forget(content)
		}
	}
}

// limitSuspects forgets requests beyond maxSuspects.
func (c *Core) limitSuspects() {
	for len(c.suspects) > maxSuspects {
		first := uint64(0)
		for content, s := range c.suspects {
			if first == 0 || s.isForgottenBefore(c.suspects[first]) {
				first = content
			}
		}
		c.forget(first)
	}
}

func (c *Core) forget(content uint64) {
	c.digest ^= c.suspects[content].digest()
	delete(c.suspects, content)
}
