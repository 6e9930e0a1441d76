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
	"github.com/yuccaport/yuccaport/src/tenants"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Table is the routing table of one configuration version and one roster view; it is immutable.
type Table struct {
	Version uint64
	Tenants *tenants.Directory // of the configuration, nil if it holds none; set before the first use

	hosts   map[string][]*tableRoute // by lower-case host, in the order of compareRoutes; shared by all tables of one configuration
	members map[string][]wire.Member
	byID    map[uint64]wire.Member
}

// tableRoute is one route of a service's document.
type tableRoute struct {
	service             string
	route               *document.Route
	targets             []document.Target
	fallback            string
	idempotentPolicy    atomic.Pointer[Policy] // created on first use: most routes of a large configuration receive no calls at this daemon
	nonIdempotentPolicy atomic.Pointer[Policy] // of calls that may run only once; created on first use

	logOnce sync.Once
	log     logr.Logger
}

// logger returns a logger with the route's fields encoded in advance, since every call writes a line.
func (r *tableRoute) logger(base logr.Logger, version uint64) logr.Logger {
	r.logOnce.Do(func() { r.log = base.WithValues("route", r.route.Name, "owner", r.service, "version", version) })
	return r.log
}

// policy returns the route's policy for idempotent or other calls.
func (r *tableRoute) policy(idempotent bool) *Policy {
	p := &r.nonIdempotentPolicy
	if idempotent {
		p = &r.idempotentPolicy
	}
	if p.Load() == nil {
		p.CompareAndSwap(nil, newPolicy(r, idempotent))
	}
	return p.Load()
}

// NewTable builds the table of a configuration and a roster view; it returns an error of kind problem.Document if a route names a service that the configuration lacks.
func NewTable(snapshot *ledger.Snapshot, view *roster.View) (*Table, error) {
	t := &Table{Version: snapshot.Version, hosts: map[string][]*tableRoute{}, members: map[string][]wire.Member{}, byID: map[uint64]wire.Member{}}
	for name, doc := range snapshot.Documents {
		if err := t.addDocument(name, doc, snapshot); err != nil {
			return nil, err
		}
		t.addMembers(name, view)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, compareRoutes)
	}
	return t, nil
}

// WithMembers returns a table of the same configuration with the members of another roster view.
func (t *Table) WithMembers(view *roster.View) *Table {
	out := &Table{Version: t.Version, Tenants: t.Tenants, hosts: t.hosts, members: make(map[string][]wire.Member, len(t.members)), byID: make(map[uint64]wire.Member, len(t.byID))}
	for name := range t.members {
		out.addMembers(name, view)
	}
	return out
}

// Members returns the members of a service; the slice must not be modified.
func (t *Table) Members(service string) []wire.Member { return t.members[service] }

// allServicesReady reports whether every service has a member that is alive and ready.
func (t *Table) allServicesReady() bool {
	for _, members := range t.members {
		if !slices.ContainsFunc(members, func(m wire.Member) bool { return m.State == wire.StateAlive && m.Ready }) {
			return false
		}
	}
	return true
}

func (t *Table) addDocument(name string, doc *document.Document, snapshot *ledger.Snapshot) error {
	for i := range doc.Routes {
		r := newTableRoute(name, &doc.Routes[i])
		if err := r.checkTargets(snapshot); err != nil {
			return err
		}
		for _, h := range doc.Hosts {
			h = normalizeHost(h)
			t.hosts[h] = append(t.hosts[h], r)
		}
	}
	return nil
}

func (t *Table) addMembers(service string, view *roster.View) {
	t.members[service] = view.ByService[service]
	for _, m := range view.ByService[service] {
		t.byID[m.ID] = m
	}
}

// changeEvent returns the event that passes the table to the core.
func (t *Table) changeEvent(self wire.Member, now time.Time) TableChanged {
	e := TableChanged{Version: t.Version, Self: self.ID, Domain: self.Domain, Region: self.Region}
	for _, members := range t.members {
		for _, m := range members {
			e.Members = append(e.Members, newMember(m, now))
		}
	}
	slices.SortFunc(e.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return e
}

func newTableRoute(service string, route *document.Route) *tableRoute {
	r := &tableRoute{service: service, route: route, targets: route.Targets, fallback: route.Fallback}
	if len(r.targets) == 0 {
		r.targets = []document.Target{{Service: service, Weight: 1}}
	}
	return r
}

func (r *tableRoute) checkTargets(snapshot *ledger.Snapshot) error {
	names := []string{}
	for _, t := range r.targets {
		names = append(names, t.Service)
	}
	if r.fallback != "" {
		names = append(names, r.fallback)
	}
	for _, name := range names {
		if _, ok := snapshot.Documents[name]; !ok {
			return problem.New(problem.Document, fmt.Sprintf("%s: route %q", r.service, r.route.Name),
				fmt.Sprintf("points at service %q, which version %d lacks", name, snapshot.Version),
				"keep the version served so far and ask a peer for a whole copy")
		}
	}
	return nil
}

// compareRoutes orders routes by descending prefix length. Among equal prefixes, routes that list more methods come first and those for all methods last; the remaining order is the same on every daemon.
func compareRoutes(a, b *tableRoute) int {
	return cmp.Or(
		cmp.Compare(len(b.route.Prefix), len(a.route.Prefix)),
		cmp.Compare(a.route.Prefix, b.route.Prefix),
		cmp.Compare(len(b.route.Methods), len(a.route.Methods)),
		cmp.Compare(a.service, b.service),
		cmp.Compare(a.route.Name, b.route.Name),
	)
}

// normalizeHost returns a host in lower case, without port and trailing dot.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") && strings.Count(host, ":") == 1 || strings.Contains(host, "]:") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
