package document

// Locality states which failure domains a route's calls may be sent to, as seen from the daemon that sends them, and which are preferred.
type Locality string

// Values of Locality.
const (
	LocalityPrefer Locality = "prefer" // same failure domain first, then same region, then any
	LocalityStrict Locality = "strict" // same failure domain only
	LocalityAny    Locality = "any"    // all failure domains, without preference
)
