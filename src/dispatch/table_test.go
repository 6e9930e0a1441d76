package dispatch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/ledger"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/wire"
)

func newSnapshot(docs ...*document.Document) *ledger.Snapshot {
	s := &ledger.Snapshot{Version: 7, Documents: map[string]*document.Document{}}
	for _, d := range docs {
		s.Documents[d.Service] = d
	}
	return s
}

func bookingsDocument(routes ...document.Route) *document.Document {
	return &document.Document{Service: "bookings", Hosts: []string{"Bookings.example"}, Routes: routes}
}

func TestMatch(t *testing.T) {
	table, err := dispatch.NewTable(newSnapshot(bookingsDocument(
		document.Route{Name: "all", Prefix: "/"},
		document.Route{Name: "diary", Prefix: "/diary"},
		document.Route{Name: "diary_edit", Prefix: "/diary", Methods: []string{"POST"}},
		document.Route{Name: "day", Prefix: "/diary/day/"},
	)), roster.NewView(0, nil))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct{ host, path, method, want string }{
		"longest prefix":                {"bookings.example", "/diary/day/3", "GET", "day"},
		"whole segment":                 {"bookings.example", "/diaryx", "GET", "all"},
		"prefix itself":                 {"bookings.example", "/diary", "GET", "diary"},
		"method":                        {"bookings.example", "/diary", "POST", "diary_edit"},
		"host with port and upper case": {"BOOKINGS.Example:8080", "/", "GET", "all"},
		"unknown host":                  {"jobrecords.example", "/", "GET", ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m, ok := table.Match(tc.host, tc.path, tc.method)
			c.Assert(ok, qt.Equals, tc.want != "")
			if ok {
				c.Assert(m.Route.Name, qt.Equals, tc.want)
				c.Assert(m.Targets, qt.DeepEquals, []document.Target{{Service: "bookings", Weight: 1}})
			}
		})
	}
}

// TestNewTableDanglingRoute checks that a route to a service without a document is an error.
func TestNewTableDanglingRoute(t *testing.T) {
	tests := map[string]document.Route{
		"target":   {Name: "r", Prefix: "/", Targets: []document.Target{{Service: "jobrecords", Weight: 1}}},
		"fallback": {Name: "r", Prefix: "/", Fallback: "jobrecords"},
	}
	for name, route := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := dispatch.NewTable(newSnapshot(bookingsDocument(route)), roster.NewView(0, nil))
			c.Assert(err, qt.ErrorIs, problem.Document)
			c.Assert(err, qt.ErrorMatches, `.*bookings: route "r": points at service "jobrecords", which version 7 lacks.*`)
		})
	}
}

// TestTableMembersOfUnknownService checks that a table holds only members of its configuration's services.
func TestTableMembersOfUnknownService(t *testing.T) {
	c := qt.New(t)
	v := roster.NewView(0, []wire.Member{{ID: 1, Service: "bookings"}, {ID: 2, Service: "retired"}})
	table, err := dispatch.NewTable(newSnapshot(bookingsDocument(document.Route{Prefix: "/"})), v)
	c.Assert(err, qt.IsNil)
	c.Assert(table.Members("bookings"), qt.HasLen, 1)
	c.Assert(table.Members("retired"), qt.HasLen, 0)
}

// TestTableWithMembers checks that a change of members does not rebuild the routes: a large configuration has thousands of them, and members change every second.
func TestTableWithMembers(t *testing.T) {
	c := qt.New(t)
	before, err := dispatch.NewTable(newSnapshot(bookingsDocument(document.Route{Name: "r", Prefix: "/"})), roster.NewView(0, members(2)))
	c.Assert(err, qt.IsNil)
	after := before.WithMembers(roster.NewView(0, members(5)))
	c.Assert(before.Members("bookings"), qt.HasLen, 2)
	c.Assert(after.Members("bookings"), qt.HasLen, 5)
	c.Assert(after.Version, qt.Equals, before.Version)
	allocs := testing.AllocsPerRun(100, func() { before.WithMembers(roster.NewView(0, nil)) })
	c.Assert(allocs < 20, qt.IsTrue, qt.Commentf("%v", allocs))
	m, ok := after.Match("Bookings.example", "/a", "GET")
	c.Assert(ok, qt.IsTrue)
	c.Assert(m.Table, qt.Equals, after)
}
