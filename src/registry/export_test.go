package registry

// Constants for tests outside the package.
const (
	StoreCallTimeout = storeCallTimeout
	WatchWait        = watchWait
	AgentsPerReader  = agentsPerReader
	MinDirectReadAge = minDirectReadAge
)

// SelectReader is selectReader.
var SelectReader = selectReader

// LockStore acquires the mutex that an announcer holds during most calls to the store.
func LockStore(a *Announcer) { a.storeMu.Lock() }

// UnlockStore releases the mutex that LockStore acquired.
func UnlockStore(a *Announcer) { a.storeMu.Unlock() }

// UpToDate is Announcer.upToDate.
func UpToDate(a *Announcer) bool { return a.upToDate() }
