package deposit

import "strconv"

// observeDecision logs and counts a decision.
func (g *Guard) observeDecision(service string, d Decide) {
	g.Metrics.GetOrCreateCounter(`yuccaport_deposit_decisions_total{decision="` + d.Kind + `"}`).Inc()
	g.Log.V(1).Info("decided on request with idempotency key", "service", service, "decision", d.Kind, "reason", d.Reason)
}

// observeEnd logs and counts the end of a claim.
func (g *Guard) observeEnd(e Ended, closed Close) {
	g.Metrics.GetOrCreateCounter(`yuccaport_deposit_ends_total{ending="` + string(e.Ending) + `",recorded="` + strconv.FormatBool(closed.OK) + `"}`).Inc()
	g.Log.V(1).Info("claim ended", "claim", e.Claim.ID.String(), "ending", string(e.Ending), "recorded", closed.OK, "reason", closed.Reason)
}
