package registry

// marker tells that the incarnations of an instance that were born until a time have said that they leave.
type marker struct {
	instance string
	untilMS  int64 // milliseconds since the Unix epoch
}
