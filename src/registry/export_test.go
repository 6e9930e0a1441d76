package registry

// What the tests outside the package look at.
const (
	AnnounceCall = announceCall
	WatchWait    = watchWait
	FollowersMax = followersMax
)

// ReaderFor is readerFor.
var ReaderFor = readerFor

// LockCalls holds an announcer's calls to the store.
func LockCalls(a *Announcer) { a.mu.Lock() }

// UnlockCalls lets them go.
func UnlockCalls(a *Announcer) { a.mu.Unlock() }

// UpToDate tells whether an announcer has nothing to write.
func UpToDate(a *Announcer) bool { return a.upToDate() }
