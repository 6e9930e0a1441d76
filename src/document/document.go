package document

// Document is the configuration document of a service, with defaults set.
type Document struct {
	Service    string   `toml:"service"`
	Hosts      []string `toml:"hosts"`       // HTTP host names that callers use
	DrainGrace Duration `toml:"drain_grace"` // time for which a draining backend server still accepts calls, until the drain is visible to all daemons
	Limits     Limits   `toml:"limits"`
	Routes     []Route  `toml:"route"` // of the routes that match path and method, the one with the longest prefix applies; of several with this prefix, the one that lists the most methods

	file string // name of the file, for error messages
	keys keyIndex
}

// Limits bounds the queue of each backend server of the service. A slot is one call that the server runs at a time.
type Limits struct {
	Queue     int      `toml:"queue"`      // maximum number of calls that wait for a slot, 0 for no queue
	QueueWait Duration `toml:"queue_wait"` // longest wait for a slot, 0 for none
}
