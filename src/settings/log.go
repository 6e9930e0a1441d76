package settings

// Log sets how a daemon logs.
type Log struct {
	Format    string `toml:"format"`    // json or console
	Verbosity int    `toml:"verbosity"` // 0 for decisions and events, 1 adds detail
}
