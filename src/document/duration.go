package document

import "time"

// Duration is a time.Duration written as "250ms" in a document.
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText writes the duration as Go does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Std().String()), nil }

// UnmarshalText reads a duration such as 250ms.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}
