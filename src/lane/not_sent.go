package lane

// NotSent marks the error of a call that the store has surely not carried out.
type NotSent struct{ Err error }

// Error returns the cause.
func (e NotSent) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e NotSent) Unwrap() error { return e.Err }
