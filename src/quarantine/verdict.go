package quarantine

import "time"

// Verdict says whether a request may be sent to a backend server.
type Verdict interface{ isVerdict() }

// Allowed is the verdict on a request that is not quarantined.
type Allowed struct{}

// Refused is the verdict on a request that is quarantined.
type Refused struct{ RetryAfter time.Duration }

// ProbeDue is the verdict on a request that is quarantined and that may run once more, in whichever
// daemon claims the probe.
type ProbeDue struct{ Number int } // from 1

func (Allowed) isVerdict()  {}
func (Refused) isVerdict()  {}
func (ProbeDue) isVerdict() {}
