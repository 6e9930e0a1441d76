package deposit

import "github.com/yuccaport/yuccaport/src/wire"

// goal is what a call wants written: a claimGoal, confirmGoal or endGoal.
type goal interface{ isGoal() }

// claimGoal wants a new claim.
type claimGoal struct {
	id          wire.ClaimID
	fingerprint uint64
}

// confirmGoal wants the stamp of a claim renewed.
type confirmGoal struct{ claim Claim }

// endGoal wants a claim ended.
type endGoal struct {
	claim  Claim
	ending Ending
	record Record
	silent bool   // nobody waits for the answer
	unsure uint64 // of a silent release: the write of the claim can still take effect at this revision
}

func (claimGoal) isGoal()   {}
func (confirmGoal) isGoal() {}
func (endGoal) isGoal()     {}
