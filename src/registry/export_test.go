package registry

// Constants for tests outside the package.
const (
	StoreCallTimeout = storeCallTimeout
	WatchWait        = watchWait
	AgentsPerReader  = agentsPerReader
)

// SelectReader is selectReader.
var SelectReader = selectReader

// LockStore blocks an announcer's calls to the store.
func LockStore(a *Announcer) { a.storeMu.Lock() }

// UnlockStore unblocks an announcer's calls to the store.
func UnlockStore(a *Announcer) { a.storeMu.Unlock() }

// UpToDate reports whether an announcer has nothing to write.
func UpToDate(a *Announcer) bool { return a.upToDate() }
