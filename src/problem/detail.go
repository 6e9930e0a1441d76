package problem

import "fmt"

// Detail is an error message made of the place, what is wrong there, and the remedy.
type Detail struct {
	Place  string // file and line, key, flag or address
	What   string // the value found and why it is refused
	Remedy string // what the reader can do about it
	Err    error  // the cause, nil when there is none
}

// Error returns the place, the fault and the remedy on one line.
func (d *Detail) Error() string {
	s := d.What
	if d.Place != "" {
		s = d.Place + ": " + s
	}
	if d.Err != nil {
		s = fmt.Sprintf("%s: %v", s, d.Err)
	}
	if d.Remedy != "" {
		s += "; " + d.Remedy
	}
	return s
}

// Unwrap returns the cause.
func (d *Detail) Unwrap() error { return d.Err }

// New returns an error of kind k for a place, with its remedy.
func New(k Kind, place, what, remedy string) error {
	return k.Wrap(&Detail{Place: place, What: what, Remedy: remedy})
}

// Wrap returns an error of kind k that keeps err as its cause.
func Wrap(k Kind, err error, place, what, remedy string) error {
	return k.Wrap(&Detail{Place: place, What: what, Remedy: remedy, Err: err})
}
