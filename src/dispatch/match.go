package dispatch

import (
	"slices"
	"strings"

	"github.com/yuccaport/yuccaport/src/document"
)

// Match is the route that a request takes.
type Match struct {
	Service  string // service whose document holds the route
	Route    *document.Route
	Targets  []document.Target // never empty
	Fallback string            // empty for none
	Table    *Table

	tableRoute *tableRoute
}

// policy returns the route's policy for requests with the given method.
func (m *Match) policy(method string) *Policy {
	return m.tableRoute.policy(m.Route.IsIdempotent(method))
}

// Match returns the route for a request: of its host's routes that allow the method, the one with the longest matching prefix, and of several with this prefix the one that lists the most methods. The path is as in the request, without the query.
func (t *Table) Match(host, path, method string) (*Match, bool) {
	for _, r := range t.hosts[normalizeHost(host)] {
		if !hasPathPrefix(path, r.route.Prefix) {
			continue
		}
		if len(r.route.Methods) > 0 && !slices.Contains(r.route.Methods, method) {
			continue
		}
		return &Match{Service: r.service, Route: r.route, Targets: r.targets, Fallback: r.fallback, Table: t, tableRoute: r}, true
	}
	return nil, false
}

// hasPathPrefix reports whether a path begins with a prefix that ends at a segment boundary.
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || prefix == "" || path[len(prefix)] == '/'
}
