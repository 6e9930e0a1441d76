package wire

//go:generate go tool -modfile=../../tools/go.mod msgp -tests=false -io=false

//msgp:limit arrays:65536 maps:4096

//msgp:tuple ClaimID

// ClaimState tells how far the payment of a claim has come.
type ClaimState uint8

// The states of a claim.
const (
	ClaimRunning ClaimState = iota // its holder may be sending the request
	ClaimEnded                     // the outcome is recorded
	ClaimUnknown                   // the request may have run
)

// ClaimID names a claim among all claims of all holders.
type ClaimID struct {
	Holder   uint64 `msg:"holder" json:"holder"`     // id of the daemon, drawn at each start
	Sequence uint64 `msg:"sequence" json:"sequence"` // grows with each claim of the holder
}

// Claim is the record of one idempotency key.
type Claim struct {
	ID          ClaimID    `msg:"id" json:"id"`
	Digest      []byte     `msg:"digest" json:"digest"`           // of service and idempotency key
	Fingerprint uint64     `msg:"fingerprint" json:"fingerprint"` // of the request
	At          int64      `msg:"at" json:"at"`                   // milliseconds since the Unix epoch
	State       ClaimState `msg:"state" json:"state"`
	Status      uint16     `msg:"status" json:"status,omitempty"`
	Fields      []Field    `msg:"fields" json:"fields,omitempty"`
	Body        []byte     `msg:"body" json:"body,omitempty"`
	Omitted     bool       `msg:"omitted" json:"omitted,omitempty"` // fields and body were too large to keep
	Era         uint64     `msg:"era" json:"era,omitempty"`         // of the store at the last write of this claim, 0 for a store that names none
}

// ClaimSlot holds the claims of all idempotency keys that share one key of the store.
type ClaimSlot struct {
	Claims []Claim `msg:"claims" json:"claims"`
}
