package settings

// Profile names a choice between convergence time and control bytes.
type Profile string

// The profiles.
const (
	ProfileFast    Profile = "fast"    // shortest convergence time
	ProfileThrifty Profile = "thrifty" // fewest control bytes
)
