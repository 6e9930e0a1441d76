package tenants

import "fmt"

const (
	redacted = "[redacted]"
	// maxKeyBytes is the length of the longest key that a configuration may hold: callers' headers are
	// limited to a few kilobytes, and a longer key could not be sent.
	maxKeyBytes = 4096
)

// Key is the secret by which a tenant's callers identify themselves. Its formatted and marshalled
// forms are redacted, so that it reaches no log line, error or dump.
type Key string

// Format writes a placeholder for every verb.
func (Key) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// String returns a placeholder.
func (Key) String() string { return redacted }

// MarshalText returns a placeholder.
func (Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// isUsable reports whether a header field can carry the key: visible ASCII characters without spaces.
func (k Key) isUsable() bool {
	if len(k) > maxKeyBytes {
		return false
	}
	return isToken([]byte(k))
}

func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return len(b) > 0
}
