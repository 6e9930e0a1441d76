package settings

// Keys names the PEM files for mutual TLS between daemons.
type Keys struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}
