package document

// Locality tells which failure domains a route's calls may go to.
type Locality string

// The localities.
const (
	LocalityPrefer Locality = "prefer" // same failure domain first, then same region, then any
	LocalityStrict Locality = "strict" // same failure domain only
	LocalityAny    Locality = "any"    // all failure domains alike
)
