package agent_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/agent"
	"github.com/yuccaport/yuccaport/src/logs"
	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/settings"
	"github.com/yuccaport/yuccaport/src/standin"
	"github.com/yuccaport/yuccaport/src/tenants"
)

// tenantConfig parses "VERSION PREFIX KEY...", each key held by a tenant of its own that is named
// t1, t2 and so on.
func tenantConfig(value []byte) (*agent.Config, error) {
	c, err := decodeConfig(value)
	if err != nil {
		return nil, err
	}
	for i, key := range strings.Fields(string(value))[2:] {
		c.Tenants = append(c.Tenants, tenants.Tenant{Name: fmt.Sprintf("t%d", i+1), Keys: []tenants.Key{tenants.Key(key)}})
	}
	return c, nil
}

func tenantConfigVersion(value []byte) uint64 {
	var version uint64
	_, _ = fmt.Sscan(string(value), &version)
	return version
}

// logBuffer collects the log of several agents.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends to the log.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// tenantOption sets an agent's configuration of tenants and its log.
func tenantOption(log *logBuffer) func(*agent.Agent) {
	return func(a *agent.Agent) {
		a.DecodeConfig, a.ConfigVersion, a.Log = tenantConfig, tenantConfigVersion, logs.New(log, logs.FormatJSON, 1)
		a.Headers.Tenant = "X-Tenant"
	}
}

func startTenantVM(c *qt.C, store registry.Store, name string, log *logBuffer, options ...func(*agent.Agent)) *vm {
	return startVM(c, store, name, startBackend(c, "i-"+name), append(options, tenantOption(log))...)
}

// callerConn is an open connection of a caller.
type callerConn struct {
	net.Conn
	r *bufio.Reader
}

func (v *vm) dial(c *qt.C) *callerConn {
	conn, err := net.Dial("tcp", v.callerAddr)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return &callerConn{conn, bufio.NewReader(conn)}
}

// get sends a request with a key and returns the status.
func (conn *callerConn) get(c *qt.C, key string) int {
	_, err := fmt.Fprintf(conn, "GET /a/ HTTP/1.1\r\nHost: a.example\r\nX-Call-Id: r-1\r\nX-Tenant: forged\r\nAuthorization: Bearer %s\r\n\r\n", key)
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(conn.r, nil)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	return resp.StatusCode
}

// Guards against a withdrawn key that an agent goes on accepting on open connections, against an
// ambiguous version in force, and against a key or a forged tenant in a log line or at a server.
func TestKeyWithdrawnOnOpenConnection(t *testing.T) {
	c := qt.New(t)
	store, log := standin.NewRegistryStore(), &logBuffer{}
	store.Put(testKeys.Config, []byte("1 /a/ s3cr3t-1 s3cr3t-2"))
	one, two := startTenantVM(c, store.View(), "one", log), startTenantVM(c, store.View(), "two", log)
	one.sendHeartbeat(c, 1, false)
	two.sendHeartbeat(c, 1, false)
	conns := []*callerConn{one.dial(c), two.dial(c)}
	for _, conn := range conns {
		eventually(c, "the key is accepted", func() bool { return conn.get(c, "s3cr3t-1") == 200 })
		c.Check(conn.get(c, "s3cr3t-3"), qt.Equals, 401)
	}
	for _, b := range []*backend{one.backend, two.backend} {
		b.mu.Lock()
		if b.lastHeader != nil {
			c.Check(b.lastHeader.Values("X-Tenant"), qt.DeepEquals, []string{"t1"})
			c.Check(b.lastHeader.Values("Authorization"), qt.HasLen, 0)
		}
		b.mu.Unlock()
	}

	store.Put(testKeys.Config, []byte("2 /a/ s3cr3t-4 s3cr3t-4"))
	eventually(c, "the version is rejected", func() bool {
		return strings.Count(log.String(), `"msg":"configuration rejected","version":2,"in_force":1`) > 0
	})
	c.Check(log.String(), qt.Contains, `tenants \"t1\" and \"t2\": hold the same key`)
	c.Check(conns[0].get(c, "s3cr3t-1"), qt.Equals, 200)
	late := startTenantVM(c, store.View(), "three", log).dial(c) // finds the rejected version only in the store
	eventually(c, "the key in force is accepted", func() bool { return late.get(c, "s3cr3t-1") == 200 })
	conns = append(conns, late)

	store.Put(testKeys.Config, []byte("3 /a/ s3cr3t-3 s3cr3t-2"))
	written := time.Now()
	for _, conn := range conns {
		eventually(c, "the key is withdrawn", func() bool { return conn.get(c, "s3cr3t-1") == 401 })
		c.Check(time.Since(written) < 2500*time.Millisecond, qt.IsTrue)
		c.Check(conn.get(c, "s3cr3t-3"), qt.Equals, 200)
		c.Check(conn.get(c, "s3cr3t-2"), qt.Equals, 200)
	}
	c.Check(log.String(), qt.Contains, `"tenant":"t2"`)
	c.Check(log.String(), qt.Contains, `"reason":"key_unknown"`)
	c.Check(strings.Contains(log.String(), "s3cr3t"), qt.IsFalse)
}

// Guards against a withdrawn key that is accepted again after a restart, because the store has come
// back from a copy that still holds it: the new agent asks its peers before it admits a request.
func TestKeyStaysWithdrawnAfterRestart(t *testing.T) {
	c := qt.New(t)
	store, log := standin.NewRegistryStore(), &logBuffer{}
	store.SetEra(1)
	store.Put(testKeys.Config, []byte("1 /a/ s3cr3t-1"))
	one, two := startTenantVM(c, store.View(), "one", log), startTenantVM(c, store.View(), "two", log)
	two.sendHeartbeat(c, 1, false)
	conn := two.dial(c)
	eventually(c, "the key is accepted", func() bool { return conn.get(c, "s3cr3t-1") == 200 })
	for _, v := range []*vm{one, two} {
		key := testKeys.MemberPrefix + v.LinkListener.Addr().String()
		eventually(c, "the agent is announced", func() bool { return store.Has(key) })
	}
	older := store.Copy()
	store.Put(testKeys.Config, []byte("2 /a/ s3cr3t-2"))
	eventually(c, "the key is withdrawn", func() bool { return conn.get(c, "s3cr3t-1") == 401 })
	one.cancel()
	err := <-one.done
	one.done <- err // for the cleanup of startVM
	c.Assert(err, qt.IsNil)
	store.Restore(older)

	successor := startTenantVM(c, store.View(), "three", log)
	conn = successor.dial(c)
	statuses := map[int]int{}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		statuses[conn.get(c, "s3cr3t-1")]++
	}
	c.Check(statuses[200], qt.Equals, 0, qt.Commentf("%v", statuses))
	c.Check(statuses[401] > 0, qt.IsTrue, qt.Commentf("%v", statuses))
	eventually(c, "the key in force is accepted", func() bool { return conn.get(c, "s3cr3t-2") == 200 })
}

// Guards against an agent that accepts keys without end while it cannot learn that they are
// withdrawn, and against one that refuses although its settings do not ask for it.
func TestStrictRevocation(t *testing.T) {
	c := qt.New(t)
	store, log := standin.NewRegistryStore(), &logBuffer{}
	store.Put(testKeys.Config, []byte("1 /a/ s3cr3t-1"))
	revocation := agent.Revocation{Time: settings.Duration(2 * time.Second)}
	views := []*standin.RegistryStore{store.View(), store.View()}
	setDown := func(err error) {
		for _, v := range views {
			v.Set(func() { v.Fail = err })
		}
	}
	lenient := startTenantVM(c, views[0], "one", log, func(a *agent.Agent) { a.Settings.Revocation = revocation })
	revocation.Strict = true
	strict := startTenantVM(c, views[1], "two", log, func(a *agent.Agent) { a.Settings.Revocation = revocation })
	lenient.sendHeartbeat(c, 1, false)
	strictConn, lenientConn := strict.dial(c), lenient.dial(c)
	eventually(c, "the key is accepted", func() bool { return strictConn.get(c, "s3cr3t-1") == 200 })
	time.Sleep(2500 * time.Millisecond) // watches without changes are news
	c.Check(strictConn.get(c, "s3cr3t-1"), qt.Equals, 200)

	setDown(errors.New("store down"))
	eventually(c, "the strict agent refuses", func() bool { return strictConn.get(c, "s3cr3t-1") == 503 })
	c.Check(log.String(), qt.Contains, `"reason":"keys_outdated"`)
	c.Check(lenientConn.get(c, "s3cr3t-1"), qt.Equals, 200)
	setDown(nil)
	eventually(c, "the strict agent admits again", func() bool { return strictConn.get(c, "s3cr3t-1") == 200 })
}
