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

// seeding is the care of the seed record of this member's failure domain.
type seeding struct {
	next      time.Time // of the next look at the record; zero before the first
	domainsAt time.Time // of the next look at the other failure domains
	looks     int
	looking   bool     // the record is being read in order to mend it
	unknown   []uint64 // in the record at the last look, but not known
}

// tickSeeds has a few members of each failure domain look after its seed record.
func (c *Core) tickSeeds() {
	if !c.HasStore || c.Self.State != wire.StateAlive {
		return
	}
	s := &c.seeding
	if s.next.IsZero() {
		s.next = c.now.Add(2*joinJitter + c.jitter(seedSpread))
	}
	if c.now.Before(s.next) {
		return
	}
	s.next = c.now.Add(c.around(c.Timing.SeedCheckPeriod))
	if len(c.ring) == 0 {
		s.next = c.now.Add(c.around(loneLook))
	}
	if !slices.ContainsFunc(c.seedRank(seedWriters), func(m wire.Member) bool { return m.ID == c.Self.ID }) {
		return
	}
	s.looking = true
	c.do(ReadSeeds{Domain: c.Self.Domain})
	if len(c.ring) > 0 || s.looks > 0 {
		c.lookAtDomains()
	}
	s.looks++
}

// lookAtDomains reads the seed records of the other failure domains once in a while.
func (c *Core) lookAtDomains() {
	if c.now.Before(c.seeding.domainsAt) {
		return
	}
	period := c.Timing.SeedCheckPeriod
	if len(c.ring) == 0 {
		period = loneLook
	}
	c.seeding.domainsAt = c.now.Add(c.around(reseedEvery * period))
	c.do(ReadDomains{})
}

// seedRank returns the first n members of this failure domain in an order that all agree on.
func (c *Core) seedRank(n int) []wire.Member {
	ms := slices.DeleteFunc(c.alive(), func(m wire.Member) bool {
		return m.Domain != c.Self.Domain || m.State == wire.StateLeaving
	})
	slices.SortFunc(ms, func(a, b wire.Member) int { return cmp.Compare(rank(a.ID), rank(b.ID)) })
	return ms[:min(n, len(ms))]
}

func rank(id uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], id)
	return xxh3.Hash(b[:])
}

// seedsRead joins the members of a seed record and mends the record of this failure domain.
func (c *Core) seedsRead(s SeedsRead) {
	if s.Failed {
		return
	}
	var addrs []netip.AddrPort
	for _, m := range s.Seeds.Members[:min(len(s.Seeds.Members), seedSize)] {
		addrs = append(addrs, m.Addr)
	}
	c.ask(addrs)
	if s.Domain != c.Self.Domain {
		return
	}
	c.join.seeds = addrs
	switch {
	case c.seeding.looking || s.Conflict:
		c.seeding.looking = false
		c.mendSeeds(s)
	case len(addrs) == 0:
		c.seeding.next = c.now.Add(c.jitter(seedSpread))
	}
}

// mendSeeds swaps the record when one of its members is gone or a place is free.
func (c *Core) mendSeeds(s SeedsRead) {
	var keep []wire.Seed
	var unknown []uint64
	for _, m := range s.Seeds.Members[:min(len(s.Seeds.Members), seedSize)] {
		known := c.latest(m.ID)
		if known == nil {
			unknown = append(unknown, m.ID)
		}
		fresh := known == nil && !slices.Contains(c.seeding.unknown, m.ID)
		if fresh || (known != nil && known.State <= wire.StateSuspect) {
			keep = append(keep, m)
		}
	}
	c.seeding.unknown = unknown
	for _, m := range c.seedRank(seedSize) {
		has := slices.ContainsFunc(keep, func(k wire.Seed) bool { return k.ID == m.ID })
		if !has && len(keep) < seedSize {
			keep = append(keep, wire.Seed{ID: m.ID, Addr: m.Addr})
		}
	}
	if slices.Equal(keep, s.Seeds.Members) {
		return
	}
	c.do(WriteSeeds{Domain: s.Domain, Revision: s.Revision, Seeds: wire.Seeds{Members: keep}})
	c.lookAtDomains()
}

// domainsRead reads the seed records of the other failure domains and enters this one in the list.
func (c *Core) domainsRead(d DomainsRead) {
	if d.Failed {
		return
	}
	names := d.Index.Domains
	for _, name := range names[:min(len(names), maxDomains)] {
		if name != c.Self.Domain {
			c.do(ReadSeeds{Domain: name})
		}
	}
	if slices.Contains(names, c.Self.Domain) || len(names) >= maxDomains {
		return
	}
	names = append(slices.Clone(names), c.Self.Domain)
	c.do(WriteDomains{Revision: d.Revision, Index: wire.SeedDomains{Domains: names}})
}
