package quarantine

// Probe is one more run of a request that is quarantined.
type Probe struct {
	Content uint64
	Number  int // from 1
}
