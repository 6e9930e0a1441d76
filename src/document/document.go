package document

// Document is a service's document, parsed and with its defaults filled in.
type Document struct {
	Service    string   `toml:"service"`
	Hosts      []string `toml:"hosts"`       // HTTP host names that callers use
	DrainGrace Duration `toml:"drain_grace"` // time a leaving backend server still takes calls already sent
	Limits     Limits   `toml:"limits"`
	Routes     []Route  `toml:"route"` // the longest matching prefix is taken

	file string // where it was read from, for messages
	keys index
}

// Limits bounds what one backend server of the service takes on.
type Limits struct {
	Queue     int      `toml:"queue"`      // calls that wait for a slot
	QueueWait Duration `toml:"queue_wait"` // longest wait for a slot
}
