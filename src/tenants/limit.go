package tenants

// Limit is the limit of a tenant over all agents.
type Limit struct {
	RatePerSecond float64 // 0 for no limit
	Burst         float64 // requests beyond the rate
}
