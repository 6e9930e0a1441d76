package rollout

import "time"

const permitTime = 1500 * time.Millisecond // for which a permit holds, from when the report that it answers was sent

// Gate stands beside a backend server and decides which calls may run there under an order. It
// decides before admission, so a call that it refuses has not run.
type Gate struct {
	Version string // of the backend server's software

	routing Routing
	permit  time.Time // end of the permit
	stopped uint64    // order whose version has been stopped
}

// Update tells the gate of the service's order. Older news must be kept from it, see
// Plan.Supersedes.
func (g *Gate) Update(r Routing) {
	if r.Order != g.routing.Order {
		g.permit = time.Time{}
	}
	g.routing = r
}

// Stop forbids the new version of an order for good, unless the order is completed.
func (g *Gate) Stop(order uint64) { g.stopped = order }

// Permit lets the new version run calls of an order for the permit time, counted from when the
// report was sent that the coordinator answered.
func (g *Gate) Permit(reportSent time.Time, order uint64) {
	if end := reportSent.Add(permitTime); order == g.routing.Order && end.After(g.permit) {
		g.permit = end
	}
}

// Admit decides on a call whose head names an order, 0 for none.
func (g *Gate) Admit(now time.Time, order uint64) Admission {
	r := g.routing
	stopped := r.Stopped || g.stopped == r.Order
	switch {
	case r.Order == 0, r.Stage == StageCompleted && r.IsNew(g.Version):
		return AdmissionRun
	case !r.IsNew(g.Version):
		if r.Stage == StageCompleted || r.Stage == StageDrainOld && !stopped {
			return AdmissionOldVersion
		}
		return AdmissionRun
	case r.Stage == StageNone:
		return AdmissionNotProceeded
	case r.Stage == StageRolledBack:
		return AdmissionRolledBack
	case stopped:
		return AdmissionStopped
	case order != r.Order:
		return AdmissionOtherOrder
	case !now.Before(g.permit):
		return AdmissionNoPermit
	}
	return AdmissionRun
}

// IsDraining reports whether the server refuses new calls for the sake of the order.
func (g *Gate) IsDraining() bool { return g.Admit(time.Time{}, 0) == AdmissionOldVersion }
