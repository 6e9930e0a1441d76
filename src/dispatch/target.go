package dispatch

import "math"

// goldenFraction is the fractional part of the golden ratio: multiples of it modulo 1 are evenly distributed, so that short series of calls are also split by weight.
const goldenFraction = 0.6180339887498949

// chooseTarget returns the service for a call: by weight among the targets with a usable server, else the fallback, else by weight among the targets with an eligible server.
func (c *Core) chooseTarget(k routeKey, p *Policy) (string, bool) {
	if name, ok := c.nextTarget(k, p.Targets, (*service).hasUsable); ok {
		return name, true
	}
	if p.Fallback != "" && c.services[p.Fallback].hasUsable() {
		return p.Fallback, true
	}
	return c.nextTarget(k, p.Targets, (*service).hasEligible)
}

// nextTarget returns the allowed target at the route's next position in the split by weight; it reports false if no target is allowed.
func (c *Core) nextTarget(k routeKey, targets []Target, allowed func(*service) bool) (string, bool) {
	total := 0
	for _, t := range targets {
		if allowed(c.services[t.Service]) {
			total += t.Weight
		}
	}
	if total <= 0 {
		return "", false
	}
	position := 0.0
	if len(targets) > 1 {
		position = c.nextSplitPosition(k) * float64(total)
	}
	for _, t := range targets {
		if !allowed(c.services[t.Service]) {
			continue
		}
		if position -= float64(t.Weight); position < 0 {
			return t.Service, true
		}
	}
	return "", false
}

// nextSplitPosition returns the position of a route's next call in the range from 0 to 1; each daemon starts at a random position.
func (c *Core) nextSplitPosition(k routeKey) float64 {
	position, ok := c.splitPositions[k]
	if !ok {
		position = c.Rand.Float64()
	}
	_, position = math.Modf(position + goldenFraction)
	c.splitPositions[k] = position
	return position
}
