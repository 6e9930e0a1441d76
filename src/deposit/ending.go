package deposit

// Ending is how a claim ends.
type Ending string

// The endings of a claim.
const (
	EndingFinish  Ending = "finish"  // the request ran and its outcome is known
	EndingRelease Ending = "release" // the request certainly did not run
	EndingAbandon Ending = "abandon" // the request may have run
)
