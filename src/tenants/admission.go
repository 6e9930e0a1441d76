package tenants

// Admission is the decision about a request.
type Admission uint8

// Values of Admission.
const (
	Admitted    Admission = iota
	AdmittedLow           // admitted, and the credit is nearly used up: report at once
	Pending               // there is no credit here; the granter may have some
	Limited               // beyond the limit
)
