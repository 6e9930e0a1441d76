package rollout

import "time"

// Routing is what senders and servers need to know of a service under an order. The zero value
// stands for a service without an order.
type Routing struct {
	Order         uint64 // ID of the order, 0 for none
	TargetVersion string
	Stage         Stage
	Share         float64       // of the requests for the new version, in StageShift
	Started       time.Time     // of the order, by the local clock
	Duration      time.Duration // from the order to its deadline
	Stopped       bool          // nothing more goes to the new version, whatever Stage says
}

// IsNew reports whether servers of a version are the ones to which the requests are moved.
func (r Routing) IsNew(version string) bool { return r.Order != 0 && version == r.TargetVersion }

// IsActive reports whether an order is being carried out: reports are sent and calls need permits.
func (r Routing) IsActive() bool { return r.Order != 0 && !r.Stage.IsSettled() }

// AllowsNew reports whether any request may be sent to the new version.
func (r Routing) AllowsNew() bool {
	switch r.Stage {
	case StageCanary, StageShift, StageDrainOld:
		return !r.Stopped
	}
	return r.Stage == StageCompleted
}

// AllowsOld reports whether any request may be sent to a version other than the new one.
func (r Routing) AllowsOld() bool {
	return r.Stage != StageCompleted && (r.Stage != StageDrainOld || r.Stopped)
}

// UsesCanarySet reports whether the new version's requests go only to some of its servers, see CanarySet.
func (r Routing) UsesCanarySet() bool {
	return r.Stage == StageCanary || r.Stage == StageShift && r.Share < 1
}
