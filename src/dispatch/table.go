package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Table is the routing table of one configuration version and one roster view; it is never changed once built.
type Table struct {
	Version uint64

	hosts   map[string][]*rule // by lower-case host, longest prefix first; shared by all tables of one configuration
	members map[string][]wire.Member
	byID    map[uint64]wire.Member
}

// rule is one route of a service's document.
type rule struct {
	service    string
	route      *document.Route
	targets    []document.Target
	fallback   string
	idempotent atomic.Pointer[Policy] // made when first needed: most routes of a large configuration take no call here
	once       atomic.Pointer[Policy] // of calls that may run only once

	logOnce sync.Once
	log     logr.Logger
}

// logger returns a logger that has the route's fields encoded already, since every call writes a line.
func (r *rule) logger(base logr.Logger, version uint64) logr.Logger {
	r.logOnce.Do(func() { r.log = base.WithValues("route", r.route.Name, "owner", r.service, "version", version) })
	return r.log
}

// policy returns how the route's calls are dispatched.
func (r *rule) policy(idempotent bool) *Policy {
	p := &r.once
	if idempotent {
		p = &r.idempotent
	}
	if p.Load() == nil {
		p.CompareAndSwap(nil, newPolicy(r, idempotent))
	}
	return p.Load()
}

// NewTable joins a configuration with a roster view; an error of kind problem.Document names a route that points at a service the configuration lacks.
func NewTable(s *ledger.Snapshot, v *roster.View) (*Table, error) {
	t := &Table{Version: s.Version, hosts: map[string][]*rule{}, members: map[string][]wire.Member{}, byID: map[uint64]wire.Member{}}
	for name, doc := range s.Documents {
		if err := t.addDocument(name, doc, s); err != nil {
			return nil, err
		}
		t.addMembers(name, v)
	}
	for _, rules := range t.hosts {
		slices.SortFunc(rules, compareRules)
	}
	return t, nil
}

// WithMembers returns the table of the same configuration and another roster view.
func (t *Table) WithMembers(v *roster.View) *Table {
	out := &Table{Version: t.Version, hosts: t.hosts, members: make(map[string][]wire.Member, len(t.members)), byID: make(map[uint64]wire.Member, len(t.byID))}
	for name := range t.members {
		out.addMembers(name, v)
	}
	return out
}

// Members returns the members of a service; the slice is not to be changed.
func (t *Table) Members(service string) []wire.Member { return t.members[service] }

// allServicesReady tells whether every service has a member that is alive and ready.
func (t *Table) allServicesReady() bool {
	for _, ms := range t.members {
		if !slices.ContainsFunc(ms, func(m wire.Member) bool { return m.State == wire.StateAlive && m.Ready }) {
			return false
		}
	}
	return true
}

func (t *Table) addDocument(name string, doc *document.Document, s *ledger.Snapshot) error {
	for i := range doc.Routes {
		r := newRule(name, &doc.Routes[i])
		if err := r.check(s); err != nil {
			return err
		}
		for _, h := range doc.Hosts {
			h = normalizeHost(h)
			t.hosts[h] = append(t.hosts[h], r)
		}
	}
	return nil
}

func (t *Table) addMembers(service string, v *roster.View) {
	t.members[service] = v.ByService[service]
	for _, m := range v.ByService[service] {
		t.byID[m.ID] = m
	}
}

// changeEvent returns the event that tells the core of this table.
func (t *Table) changeEvent(self wire.Member, now time.Time) TableChanged {
	e := TableChanged{Version: t.Version, Self: self.ID, Domain: self.Domain, Region: self.Region}
	for _, ms := range t.members {
		for _, m := range ms {
			e.Members = append(e.Members, newMember(m, now))
		}
	}
	slices.SortFunc(e.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return e
}

func newRule(service string, route *document.Route) *rule {
	r := &rule{service: service, route: route, targets: route.Targets, fallback: route.Fallback}
	if len(r.targets) == 0 {
		r.targets = []document.Target{{Service: service, Weight: 1}}
	}
	return r
}

func (r *rule) check(s *ledger.Snapshot) error {
	names := []string{}
	for _, t := range r.targets {
		names = append(names, t.Service)
	}
	if r.fallback != "" {
		names = append(names, r.fallback)
	}
	for _, n := range names {
		if _, ok := s.Documents[n]; !ok {
			return problem.New(problem.Document, fmt.Sprintf("%s: route %q", r.service, r.route.Name),
				fmt.Sprintf("points at service %q, which version %d lacks", n, s.Version),
				"keep the version served so far and ask a peer for a whole copy")
		}
	}
	return nil
}

// compareRules orders rules by descending prefix length; equal prefixes keep a fixed order on every daemon.
func compareRules(a, b *rule) int {
	return cmp.Or(
		cmp.Compare(len(b.route.Prefix), len(a.route.Prefix)),
		cmp.Compare(a.route.Prefix, b.route.Prefix),
		cmp.Compare(len(b.route.Methods), len(a.route.Methods)),
		cmp.Compare(a.service, b.service),
		cmp.Compare(a.route.Name, b.route.Name),
	)
}

// normalizeHost lowers a host's letters and removes its port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") && strings.Count(host, ":") == 1 || strings.Contains(host, "]:") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
