package tenants

import "time"

// borrower is an agent that follows a granter.
type borrower struct {
	session        uint32
	seq            uint64    // of the last report
	answeredAt     int64     // TenantGrants.Clock of the last answer
	expiresAt      time.Time // when its credit can no longer be used
	delegatesUntil time.Time
	loans          map[uint32]*loan
}
