package dispatch

import "math"

// evenStep is the golden ratio's fraction: steps of it fill the range from 0 to 1 evenly, so that shares hold in short series too.
const evenStep = 0.6180339887498949

// target takes a service by weight among the targets that have a usable server, else the fallback.
func (c *Core) target(k routeKey, p *Policy) (string, bool) {
	if name, ok := c.draws(k, p.Targets, (*service).usable); ok {
		return name, true
	}
	if p.Fallback != "" && c.services[p.Fallback].usable() {
		return p.Fallback, true
	}
	return c.draws(k, p.Targets, (*service).choosable)
}

func (c *Core) draws(k routeKey, targets []Target, can func(*service) bool) (string, bool) {
	total := 0
	for _, t := range targets {
		if can(c.services[t.Service]) {
			total += t.Weight
		}
	}
	if total <= 0 {
		return "", false
	}
	n := 0.0
	if len(targets) > 1 {
		n = c.turn(k) * float64(total)
	}
	for _, t := range targets {
		if !can(c.services[t.Service]) {
			continue
		}
		if n -= float64(t.Weight); n < 0 {
			return t.Service, true
		}
	}
	return "", false
}

// turn returns where the next call of a route falls in the range from 0 to 1; each daemon begins somewhere else.
func (c *Core) turn(k routeKey) float64 {
	x, ok := c.turns[k]
	if !ok {
		x = c.Rand.Float64()
	}
	_, x = math.Modf(x + evenStep)
	c.turns[k] = x
	return x
}
