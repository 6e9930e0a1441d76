package roster

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/wire"
)

// seedState is the state of the maintenance of the seed record of this member's failure domain.
type seedState struct {
	nextReadAt    time.Time // of the seed record; zero before the first
	nextDomainsAt time.Time // of the index of failure domains
	repairReads   int       // number of reads begun in order to repair the record
	repairing     bool      // the record is being read in order to repair it
	unknownIDs    []uint64  // in the record at the last repair, but not in the roster
}

// tickSeeds reads the seed record regularly if this member is one of its writers in the failure domain.
func (c *Core) tickSeeds() {
	if !c.HasStore || c.Self.State != wire.StateAlive {
		return
	}
	s := &c.seeds
	if s.nextReadAt.IsZero() {
		s.nextReadAt = c.now.Add(2*joinJitter + c.jitter(seedJitter))
	}
	if c.now.Before(s.nextReadAt) {
		return
	}
	s.nextReadAt = c.now.Add(c.jitterAround(c.Timing.SeedCheckPeriod))
	if len(c.live) == 0 {
		s.nextReadAt = c.now.Add(c.jitterAround(isolatedSeedPeriod))
	}
	if !slices.ContainsFunc(c.seedCandidates(seedWriters), func(m wire.Member) bool { return m.ID == c.Self.ID }) {
		return
	}
	s.repairing = true
	c.emit(ReadSeeds{Domain: c.Self.Domain})
	// An isolated member leaves the index, at its first read, to repairSeeds, which requests it if the record must change.
	if len(c.live) > 0 || s.repairReads > 0 {
		c.requestDomains()
	}
	s.repairReads++
}

// requestDomains requests a read of the index of failure domains if one is due; handleDomains then requests the seed
// records of the domains listed.
func (c *Core) requestDomains() {
	if c.now.Before(c.seeds.nextDomainsAt) {
		return
	}
	period := c.Timing.SeedCheckPeriod
	if len(c.live) == 0 {
		period = isolatedSeedPeriod
	}
	c.seeds.nextDomainsAt = c.now.Add(c.jitterAround(domainsPeriodFactor * period))
	c.emit(ReadDomains{})
}

// seedCandidates returns the first n members of this failure domain by seedHash, an order that all members agree on;
// leaving members are excluded.
func (c *Core) seedCandidates(n int) []wire.Member {
	ms := slices.DeleteFunc(c.liveMembers(), func(m wire.Member) bool {
		return m.Domain != c.Self.Domain || m.State == wire.StateLeaving
	})
	slices.SortFunc(ms, func(a, b wire.Member) int { return cmp.Compare(seedHash(a.ID), seedHash(b.ID)) })
	return ms[:min(n, len(ms))]
}

func seedHash(id uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], id)
	return xxh3.Hash(b[:])
}

// handleSeeds sends joins to the members of a seed record. It repairs the record of this failure domain if
// that was read for repair or its last write met a conflict.
func (c *Core) handleSeeds(s SeedsRead) {
	if s.Failed {
		return
	}
	var addrs []netip.AddrPort
	for _, m := range s.Seeds.Members[:min(len(s.Seeds.Members), maxSeeds)] {
		addrs = append(addrs, m.Addr)
	}
	c.sendJoins(addrs)
	if s.Domain != c.Self.Domain {
		return
	}
	c.join.seedAddrs = addrs
	switch {
	case c.seeds.repairing || s.Conflict:
		c.seeds.repairing = false
		c.repairSeeds(s)
	case len(addrs) == 0: // read again soon; this may create the record
		c.seeds.nextReadAt = c.now.Add(c.jitter(seedJitter))
	}
}

// repairSeeds replaces members in the record that are dead or leaving, or unknown in two successive repairs, and fills free places.
func (c *Core) repairSeeds(s SeedsRead) {
	var record []wire.Seed
	var unknownIDs []uint64
	for _, m := range s.Seeds.Members[:min(len(s.Seeds.Members), maxSeeds)] {
		known := c.findMember(m.ID)
		if known == nil {
			unknownIDs = append(unknownIDs, m.ID)
		}
		newlyUnknown := known == nil && !slices.Contains(c.seeds.unknownIDs, m.ID)
		if newlyUnknown || (known != nil && known.State <= wire.StateSuspect) { // alive or suspect
			record = append(record, m)
		}
	}
	c.seeds.unknownIDs = unknownIDs
	for _, m := range c.seedCandidates(maxSeeds) {
		listed := slices.ContainsFunc(record, func(k wire.Seed) bool { return k.ID == m.ID })
		if !listed && len(record) < maxSeeds {
			record = append(record, wire.Seed{ID: m.ID, Addr: m.Addr})
		}
	}
	if slices.Equal(record, s.Seeds.Members) {
		return
	}
	c.emit(WriteSeeds{Domain: s.Domain, Revision: s.Revision, Seeds: wire.Seeds{Members: record}})
	c.requestDomains()
}

// handleDomains requests the seed records of the other failure domains and adds this one to the index.
func (c *Core) handleDomains(d DomainsRead) {
	if d.Failed {
		return
	}
	names := d.Index.Domains
	for _, name := range names[:min(len(names), maxDomains)] {
		if name != c.Self.Domain {
			c.emit(ReadSeeds{Domain: name})
		}
	}
	if slices.Contains(names, c.Self.Domain) || len(names) >= maxDomains {
		return
	}
	names = append(slices.Clone(names), c.Self.Domain)
	c.emit(WriteDomains{Revision: d.Revision, Index: wire.SeedDomains{Domains: names}})
}
