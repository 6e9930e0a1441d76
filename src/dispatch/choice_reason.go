package dispatch

// ChoiceReason names why a member was chosen.
type ChoiceReason string

// The reasons for a choice.
const (
	ChoiceLocal       ChoiceReason = "same_domain"
	ChoiceRegion      ChoiceReason = "same_region" // a server of the region was preferred, or the failure domain has no free capacity
	ChoiceAny         ChoiceReason = "any_domain"
	ChoiceOtherDomain ChoiceReason = "other_domain" // a further attempt, in a failure domain that the call has not tried
	ChoiceSaturated   ChoiceReason = "all_saturated"
	ChoiceLastResort  ChoiceReason = "all_bad" // only members that are ejected, unreachable, suspect or not ready
	ChoiceBaseline    ChoiceReason = "baseline"
)
