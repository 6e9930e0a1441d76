package tenants

// Tenant is a customer whose callers send their requests with one of its keys.
type Tenant struct {
	Name       string
	Priority   *uint8  // of its requests, in place of their route's; 0 is served first, nil to use the route's
	RatePerSec float64 // requests a second, 0 for no limit
	Burst      float64 // requests beyond the rate, 0 for no limit
	Keys       []Key   // empty in the tenants that a Directory returns
}
