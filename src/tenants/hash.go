package tenants

import "github.com/zeebo/xxh3"

// tenantHash returns the hash by which a tenant is named on the wire. Two tenants with the same
// hash share the lower of their limits, see Allocator.Configure.
func tenantHash(name string) uint32 { return uint32(xxh3.HashString(name)) }
