package deposit

// Ending is how the holder of a claim gives it up.
type Ending string

// The endings of a claim.
const (
	EndingFinish  Ending = "finish"  // the request ran and its outcome is known
	EndingRelease Ending = "release" // the request surely did not run
	EndingAbandon Ending = "abandon" // the request may have run
)
