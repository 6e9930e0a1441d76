package dispatch

// ChoiceReason names why a member was chosen.
type ChoiceReason string

// The reasons for a choice.
const (
	ChoiceLocal       ChoiceReason = "same_domain"
	ChoiceRegion      ChoiceReason = "same_region" // the failure domain was skipped in slow start or has no unsaturated server, or a server of the region has the lowest expected latency
	ChoiceAny         ChoiceReason = "any_domain"
	ChoiceOtherDomain ChoiceReason = "other_domain"  // a further attempt, in a failure domain that the call has not tried
	ChoiceSaturated   ChoiceReason = "all_saturated" // the chosen server is saturated or, if it was chosen by expected latency, has all slots in use
	ChoiceLastResort  ChoiceReason = "all_bad"       // only members that are ejected, unreachable, suspect or not ready
	ChoiceBaseline    ChoiceReason = "baseline"
)
