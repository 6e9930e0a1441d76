package deposit

import "strconv"

// decided writes the line and counts of a decision.
func (g *Guard) decided(service string, d Decide) {
	g.Metrics.GetOrCreateCounter(`yuccaport_deposit_decisions_total{decision="` + d.Kind + `"}`).Inc()
	g.Log.V(1).Info("deposit decided", "service", service, "decision", d.Kind, "reason", d.Reason)
}

// ended writes the line and counts of the end of a claim.
func (g *Guard) ended(e Ended, done Close) {
	g.Metrics.GetOrCreateCounter(`yuccaport_deposit_ends_total{ending="` + string(e.Ending) + `",recorded="` + strconv.FormatBool(done.OK) + `"}`).Inc()
	g.Log.V(1).Info("deposit ended", "claim", e.Claim.ID.String(), "ending", string(e.Ending), "recorded", done.OK, "reason", done.Reason)
}
