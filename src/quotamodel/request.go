package quotamodel

import "time"

// request is one request of a tenant.
type request struct {
	tenant  string
	arrived time.Time
}
