package document

// Document is the configuration document of a service, with defaults set.
type Document struct {
	Service    string   `toml:"service"`
	Hosts      []string `toml:"hosts"`       // HTTP host names that callers use
	DrainGrace Duration `toml:"drain_grace"` // for which a leaving backend server still accepts calls that were already sent
	Limits     Limits   `toml:"limits"`
	Routes     []Route  `toml:"route"` // the route with the longest matching prefix applies

	file string // name of the file, for error messages
	keys keyIndex
}

// Limits bounds the calls that wait for one backend server of the service.
type Limits struct {
	Queue     int      `toml:"queue"`      // calls that wait for a slot
	QueueWait Duration `toml:"queue_wait"` // longest wait for a slot
}
