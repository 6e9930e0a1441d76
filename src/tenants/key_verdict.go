package tenants

// Verdict is the result of a Directory's lookup.
type Verdict uint8

// Values of Verdict.
const (
	VerdictAccepted   Verdict = iota
	VerdictMissing            // no Authorization field
	VerdictDuplicated         // several Authorization fields
	VerdictMalformed          // not of the form "Bearer KEY"
	VerdictUnknown            // no tenant has the key
)

// Verdicts lists the values of Verdict.
var Verdicts = []Verdict{VerdictAccepted, VerdictMissing, VerdictDuplicated, VerdictMalformed, VerdictUnknown}

// String returns the reason that log lines, metrics and answers state.
func (v Verdict) String() string {
	switch v {
	case VerdictAccepted:
		return "key_accepted"
	case VerdictMissing:
		return "key_missing"
	case VerdictDuplicated:
		return "key_duplicated"
	case VerdictMalformed:
		return "key_malformed"
	}
	return "key_unknown"
}
