package registry

// Constants for tests outside the package.
const (
	StoreCallTimeout = storeCallTimeout
	WatchWait        = watchWait
	AgentsPerReader  = agentsPerReader
)

// SelectReader is selectReader.
var SelectReader = selectReader

// LockStore holds the mutex that an announcer holds during writes to the store.
func LockStore(a *Announcer) { a.storeMu.Lock() }

// UnlockStore releases the mutex that LockStore holds.
func UnlockStore(a *Announcer) { a.storeMu.Unlock() }

// UpToDate reports whether an announcer has nothing to write.
func UpToDate(a *Announcer) bool { return a.upToDate() }
