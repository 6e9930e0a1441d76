package dispatch_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/header"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/logs"
	"github.com/yuccaport/yuccaport/src/roster"
	"github.com/yuccaport/yuccaport/src/tenants"
	"github.com/yuccaport/yuccaport/src/wire"
)

const tenantKey = "s3cr3t-key"

// tenantProxy is a proxy whose tables can be replaced, with the heads of the calls that it has sent.
type tenantProxy struct {
	*testProxy
	table atomic.Pointer[dispatch.Table]
	log   bytes.Buffer // read after the proxy has stopped, or by logged

	mu      sync.Mutex
	heads   []wire.CallHead
	outcome link.Outcome // nil for an answer 200
}

// Write appends to the log.
func (p *tenantProxy) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *tenantProxy) logged() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *tenantProxy) sent() []wire.CallHead {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heads
}

// setKeys puts a configuration in force in which the tenant acme holds the keys; without keys there
// are no tenants.
func (p *tenantProxy) setKeys(c *qt.C, keys ...tenants.Key) {
	table, err := dispatch.NewTable(newSnapshot(bookingsDocument(
		document.Route{Name: "diary", Prefix: "/diary", Priority: document.PriorityLow},
		document.Route{Name: "inner", Prefix: "/inner", Priority: document.PriorityLow, Public: true},
	)), roster.NewView(0, members(3)))
	c.Assert(err, qt.IsNil)
	if len(keys) > 0 {
		priority := uint8(0)
		table.Tenants, err = tenants.NewDirectory([]tenants.Tenant{{Name: "acme", Keys: keys, Priority: &priority}})
		c.Assert(err, qt.IsNil)
	}
	p.table.Store(table.WithMembers(roster.NewView(0, members(3))))
}

func startTenantProxy(t *testing.T, options ...func(*dispatch.Proxy)) (*qt.C, *tenantProxy) {
	c := qt.New(t)
	p := &tenantProxy{}
	p.setKeys(c, tenantKey)
	options = append([]func(*dispatch.Proxy){func(d *dispatch.Proxy) {
		d.Headers = header.Names{RequestID: "X-Call-Id", Deadline: "X-Left-Ms", Tenant: "X-Tenant", Fractions: true}
		d.Table, d.Log = p.table.Load, logs.New(p, logs.FormatJSON, 1)
	}}, options...)
	p.testProxy = startProxy(t, diaryRoute, func(_ context.Context, _ link.Peer, h wire.CallHead, _ io.Reader) link.Outcome {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.heads = append(p.heads, h)
		if p.outcome != nil {
			return p.outcome
		}
		return newReply(200, "")
	}, options...)
	return c, p
}

func request(method, path, body string, fields ...string) string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: bookings.example\r\nX-Call-Id: r-1\r\nContent-Length: %d\r\n", method, path, len(body))
	for _, f := range fields {
		s += f + "\r\n"
	}
	return s + "\r\n" + body
}

// Guards against a request that runs without a key in force, a key or forged tenant that reaches a
// server or a log line, and a public route that asks for a key.
func TestTenantOfRequest(t *testing.T) {
	bearer := "Authorization: Bearer " + tenantKey
	tests := map[string]struct {
		path     string
		fields   []string
		status   int
		reason   string // in the answer and the log
		tenant   string
		priority uint8
	}{
		"key":              {"/diary", []string{bearer, "x-tenant: forged", "X-Other: 1"}, 200, "", "acme", 0},
		"field's name":     {"/diary", []string{strings.ToUpper(bearer[:13]) + bearer[13:]}, 200, "", "acme", 0},
		"no key":           {"/diary", []string{"X-Tenant: acme"}, 401, "key_missing", "", 0},
		"empty field":      {"/diary", []string{"Authorization:"}, 401, "key_malformed", "", 0},
		"two fields":       {"/diary", []string{bearer, strings.ToLower(bearer[:13]) + bearer[13:]}, 401, "key_duplicated", "", 0},
		"unknown key":      {"/diary", []string{bearer + "x"}, 401, "key_unknown", "", 0},
		"another scheme":   {"/diary", []string{"Authorization: Basic " + tenantKey}, 401, "key_malformed", "", 0},
		"listed as option": {"/diary", []string{bearer, "Connection: Authorization"}, 200, "", "acme", 0},
		"public":           {"/inner", []string{"X-Tenant: forged"}, 200, "", "", 2},
		"public with key":  {"/inner", []string{bearer, "X-Tenant: acme"}, 200, "", "", 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c, p := startTenantProxy(t)
			conn := p.sendRaw(c, request("GET", tc.path, "", tc.fields...))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode, qt.Equals, tc.status)
			c.Check(strings.Contains(p.logged(), tenantKey), qt.IsFalse)
			c.Check(strings.Contains(string(body), tenantKey), qt.IsFalse)
			if tc.status != 200 {
				c.Check(resp.Header.Get("WWW-Authenticate"), qt.Equals, "Bearer")
				c.Check(resp.Header.Get("X-Call-Id"), qt.Equals, "r-1")
				c.Check(string(body), qt.Contains, `"reason":"`+tc.reason+`"`)
				c.Check(p.logged(), qt.Matches, `(?s).*"request_id":"r-1","reason":"`+tc.reason+`".*`)
				c.Check(p.sent(), qt.HasLen, 0)
				return
			}
			head := p.sent()[0]
			c.Check(head.Tenant, qt.Equals, tc.tenant)
			c.Check(head.Priority, qt.Equals, tc.priority)
			for _, f := range head.Fields {
				c.Check(strings.EqualFold(f.Name, "Authorization") || strings.EqualFold(f.Name, "X-Tenant"), qt.IsFalse, qt.Commentf("%s", f.Name))
			}
			c.Check(strings.Contains(p.logged(), `"tenant":"acme"`), qt.Equals, tc.tenant != "")
		})
	}
}

// Guards against a change of behaviour where the configuration holds no tenants.
func TestWithoutTenants(t *testing.T) {
	c, p := startTenantProxy(t, func(p *dispatch.Proxy) { p.KeysOutdated = func() bool { return true } })
	p.setKeys(c)
	got, err := p.do("GET", "/diary", nil, "Authorization", "Basic YTpi", "X-Tenant", "own")
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 200)
	c.Check(p.sent()[0].Fields, qt.Contains, wire.Field{Name: "Authorization", Value: "Basic YTpi"})
	c.Check(p.sent()[0].Fields, qt.Contains, wire.Field{Name: "X-Tenant", Value: "own"})
	c.Check(strings.Contains(p.logged(), `"tenant"`), qt.IsFalse)
}

// Guards against a hash that leaves the process and from which a key could be guessed: it is the same
// for all keys of a tenant.
func TestContentWithoutKey(t *testing.T) {
	c, p := startTenantProxy(t)
	p.setKeys(c, tenantKey, "another")
	for _, key := range []string{tenantKey, "another"} {
		_, err := p.do("GET", "/diary", nil, "Authorization", "Bearer "+key)
		c.Assert(err, qt.IsNil)
	}
	c.Check(p.sent()[0].Content, qt.Equals, p.sent()[1].Content)
}

// Guards against a connection that admits by the keys with which it began: the table in force when a
// request is handled decides, also for pipelined requests. A 401 keeps the connection open.
func TestKeysOnOpenConnection(t *testing.T) {
	c, p := startTenantProxy(t)
	get := request("GET", "/diary", "", "Authorization: Bearer "+tenantKey)
	post := request("POST", "/diary", "short body", "Authorization: Bearer "+tenantKey)
	conn := p.sendRaw(c, get)
	r := bufio.NewReader(conn)
	read := func() int {
		resp, err := http.ReadResponse(r, nil)
		c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		c.Assert(err, qt.IsNil)
		return resp.StatusCode
	}
	c.Assert(read(), qt.Equals, 200)
	p.setKeys(c, "new-key")
	_, err := io.WriteString(conn, get+post+get+request("GET", "/diary", "", "Authorization: Bearer new-key"))
	c.Assert(err, qt.IsNil)
	for _, want := range []int{401, 401, 401, 200} {
		c.Assert(read(), qt.Equals, want)
	}
	p.setKeys(c, tenantKey)
	_, err = io.WriteString(conn, get)
	c.Assert(err, qt.IsNil)
	c.Assert(read(), qt.Equals, 200)
	c.Check(p.sent(), qt.HasLen, 3)
}

// Guards against a 401 that waits for a body: a long one, one without a stated length and one that
// does not arrive are not read, and nothing behind them runs.
func TestRefusedKeyWithBody(t *testing.T) {
	get := request("GET", "/diary", "", "Authorization: Bearer "+tenantKey)
	start := "POST /diary HTTP/1.1\r\nHost: bookings.example\r\n"
	tests := map[string]string{
		"long":          start + "Content-Length: 1000000\r\n\r\n" + get,
		"chunked":       start + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get,
		"never arrives": start + "Content-Length: 1000\r\n\r\n" + get,
	}
	for name, req := range tests {
		t.Run(name, func(t *testing.T) {
			c, p := startTenantProxy(t)
			began := time.Now()
			resp, err := http.ReadResponse(bufio.NewReader(p.sendRaw(c, req)), nil)
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			c.Check(resp.StatusCode, qt.Equals, 401)
			c.Check(resp.Close, qt.IsTrue)
			c.Check(time.Since(began) < time.Second, qt.IsTrue)
			c.Check(p.sent(), qt.HasLen, 0)
		})
	}
}

// Guards against a key in the log line of a header that cannot be parsed.
func TestUnreadableHeaderIsNotLogged(t *testing.T) {
	tests := map[string]string{
		"invalid value": request("GET", "/diary", "", "Authorization: Bearer "+tenantKey+"\x01"),
		"invalid name":  request("GET", "/diary", "", "Auth(orization: Bearer "+tenantKey),
		"no first line": "Authorization: Bearer " + tenantKey + "\r\n\r\n",
		"too large":     request("GET", "/diary", "", "X: "+strings.Repeat("x", 64<<10), "Authorization: Bearer "+tenantKey),
	}
	for name, req := range tests {
		t.Run(name, func(t *testing.T) {
			c, p := startTenantProxy(t)
			resp, err := http.ReadResponse(bufio.NewReader(p.sendRaw(c, req)), nil)
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			c.Check(resp.StatusCode >= 400, qt.IsTrue)
			c.Check(p.logged(), qt.Contains, "rejected")
			c.Check(strings.Contains(p.logged()+string(body), tenantKey), qt.IsFalse, qt.Commentf("%s", p.logged()))
		})
	}
}

// Guards against keys that an agent without news goes on accepting; public routes go on.
func TestKeysOutdated(t *testing.T) {
	c, p := startTenantProxy(t, func(p *dispatch.Proxy) { p.KeysOutdated = func() bool { return true } })
	got, err := p.do("GET", "/diary", nil, "Authorization", "Bearer "+tenantKey)
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 503)
	c.Check(got.header.Get("Retry-After"), qt.Equals, "1.000")
	got, err = p.do("GET", "/inner", nil)
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 200)
}
