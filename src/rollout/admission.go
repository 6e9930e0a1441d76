package rollout

// Admission says whether a call may run at a server under an order, and why not.
type Admission string

// The values appear in logs.
const (
	AdmissionRun          Admission = ""
	AdmissionNoPermit     Admission = "no_permit"     // no coordinator has permitted the new version within the permit time
	AdmissionStopped      Admission = "stopped"       // the new version has been stopped
	AdmissionOtherOrder   Admission = "other_order"   // the sender does not follow the order
	AdmissionRolledBack   Admission = "rolled_back"   // the new version has been rolled back
	AdmissionOldVersion   Admission = "old_version"   // all requests go to the new version
	AdmissionNotProceeded Admission = "not_proceeded" // the rollout has no record yet
)
