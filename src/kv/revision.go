package kv

// eraShift is the position of the era in a revision: the store's own counter takes the lower 48 bits.
const eraShift = 48

// MaxEra is the highest era that a revision can hold.
const MaxEra = 1<<(64-eraShift) - 1

// JoinRevision returns the revision of a write with the given number in an era of the store.
//
// The era rises by one when the store comes back from an older copy, which gives its numbers out
// again. With the era in front, revisions never go backwards, and a write that expects a revision of
// an earlier era conflicts. A store that names no era counts as era 0.
func JoinRevision(era, number uint64) uint64 { return era<<eraShift | number }

// SplitRevision returns the era of a revision and the number of the write in it.
func SplitRevision(revision uint64) (era, number uint64) {
	return revision >> eraShift, revision & (1<<eraShift - 1)
}
