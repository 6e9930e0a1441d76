package link

// Keys names the PEM files for mutual TLS; they are read again when they change.
type Keys struct {
	Cert string
	Key  string
	CA   string
}
