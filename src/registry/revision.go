package registry

// eraShift is the position of the era in a revision: the store's own counter takes the lower 48 bits.
const eraShift = 48

// MaxEra is the highest era that a revision can hold.
const MaxEra = 1<<(64-eraShift) - 1

// JoinRevision returns the revision of a change with the given number in an era of the store.
//
// A revision orders all changes: first by era, which rises when the store comes back from an older
// copy of its data, then by the number that the store gives each change, which goes back then.
// Without eras, the era is 0.
func JoinRevision(era, number uint64) uint64 { return era<<eraShift | number }

// SplitRevision returns the era of a revision and the number of the change in it.
func SplitRevision(revision uint64) (era, number uint64) {
	return revision >> eraShift, revision & (1<<eraShift - 1)
}

// isWithoutEra reports whether a revision is a number of the store alone.
func isWithoutEra(revision uint64) bool {
	era, number := SplitRevision(revision)
	return era == 0 && number > 0
}
