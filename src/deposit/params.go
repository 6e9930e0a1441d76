package deposit

import "github.com/yuccaport/yuccaport/src/wire"

// params are the inputs of an operation, and their type is its kind: claimParams, confirmParams,
// endParams or rewriteParams.
type params interface{ isParams() }

// claimParams describes a claim to add.
type claimParams struct {
	id          wire.ClaimID
	fingerprint uint64
}

// confirmParams describes a claim whose timestamp is renewed.
type confirmParams struct{ claim Claim }

// endParams describes how to end a claim.
type endParams struct {
	claim          Claim
	ending         Ending
	record         Record
	background     bool   // the operation is not answered with Close
	unsureRevision uint64 // of a background release: revision at which a delayed write of the claim can still take effect
}

// rewriteParams describes a claim to write again.
type rewriteParams struct{ id wire.ClaimID }

func (claimParams) isParams()   {}
func (confirmParams) isParams() {}
func (endParams) isParams()     {}
func (rewriteParams) isParams() {}
