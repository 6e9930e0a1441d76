package document

// Route configures how requests that match a path prefix and a method are served.
type Route struct {
	Name        string   `toml:"name"`
	Prefix      string   `toml:"prefix"`
	Methods     []string `toml:"methods"`    // empty for all
	Targets     []Target `toml:"targets"`    // empty for the document's own service
	Fallback    string   `toml:"fallback"`   // service used when no target has a usable backend server
	Timeout     Duration `toml:"timeout"`    // of one attempt
	Deadline    Duration `toml:"deadline"`   // of the whole call
	Objective   Duration `toml:"objective"`  // latency objective, 0 for none
	Idempotent  *bool    `toml:"idempotent"` // nil to decide by method
	Deposit     bool     `toml:"deposit"`    // a payment: runs at most once
	Priority    Priority `toml:"priority"`
	Retry       Retry    `toml:"retry"`
	Hedge       Hedge    `toml:"hedge"`
	MaxInFlight int      `toml:"max_in_flight"` // per daemon, 0 for no limit
	Locality    Locality `toml:"locality"`
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string `toml:"service"`
	Weight  int    `toml:"weight"`
}

// Retry bounds the attempts at one call.
type Retry struct {
	Attempts int `toml:"attempts"` // in all, 1 for no retry
}

// Hedge configures hedged requests: a second attempt of an idempotent read that has not been answered in time.
type Hedge struct {
	After Duration `toml:"after"` // 0 for no hedge
}

// IsIdempotent reports whether a request with this method may run twice on this route.
func (r *Route) IsIdempotent(method string) bool {
	if r.Deposit {
		return false
	}
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	}
	return false
}
