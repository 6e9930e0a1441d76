package booking

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Guards against a key or forged tenant that reaches the backend server from a daemon that does not
// know yet that there are tenants, and against a change where there are none.
func TestTenantFields(t *testing.T) {
	tests := map[string]struct {
		tenant     string
		hasTenants bool
		wantKey    string
		wantTenant string
	}{
		"tenant":              {"acme", true, "", "acme"},
		"tenants not known":   {"acme", false, "", "acme"},
		"request without one": {"", true, "", ""},
		"no tenants":          {"", false, "Bearer k", "forged"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			raw := startRawBackend(t)
			s := startServer(t, raw.listener, 4, 8)
			s.Headers.Tenant = "X-Tenant"
			s.HasTenants = func() bool { return tc.hasTenants }
			got := ""
			raw.answer = func(head string) string {
				got = head
				return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
			}
			in := newInbound("GET", "/diary", "t", nil, 0)
			in.head.Tenant = tc.tenant
			in.head.Fields = append(in.head.Fields, wire.Field{Name: "Authorization", Value: "Bearer k"}, wire.Field{Name: "x-tenant", Value: "forged"})
			s.ServeCall(t.Context(), in)
			c.Assert(in.complete, qt.IsTrue)
			c.Check(field(got, "Authorization"), qt.Equals, tc.wantKey)
			c.Check(field(strings.Replace(got, "x-tenant:", "X-Tenant:", 1), "X-Tenant"), qt.Equals, tc.wantTenant)
			c.Check(strings.Contains(got, "forged"), qt.Equals, tc.wantTenant == "forged")
		})
	}
}
