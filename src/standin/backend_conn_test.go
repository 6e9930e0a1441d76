package standin_test

import (
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/standin"
)

// until waits for a condition that is sure to come.
func until(ok func() bool) {
	for !ok() {
		time.Sleep(time.Millisecond)
	}
}

func TestBackendStopsWhenItsCallerGoes(t *testing.T) {
	tests := map[string]struct {
		work   time.Duration
		faults standin.BackendFaults
	}{
		"slow work":    {time.Hour, standin.BackendFaults{}},
		"never answer": {0, standin.BackendFaults{AcceptNeverAnswer: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			runs := &standin.RunLog{}
			url := backend(c, &standin.Backend{Name: "b1", Slots: 1, Connections: 1, Work: tc.work, Start: tc.faults, Runs: runs})
			var conns []net.Conn
			for range 2 {
				conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
				c.Assert(err, qt.IsNil)
				_, err = conn.Write([]byte("GET /diary HTTP/1.1\r\nHost: x\r\nX-Request-Token: t1\r\n\r\n"))
				c.Assert(err, qt.IsNil)
				conns = append(conns, conn)
			}
			until(func() bool { return runs.Count("t1") == 2 })
			c.Check(runs.SlotsExceeded(), qt.Equals, 1)
			c.Check(runs.ConnectionsExceeded(), qt.Equals, 1)
			c.Check(runs.MaxConnections(), qt.Equals, 2)
			for _, conn := range conns {
				c.Check(conn.Close(), qt.IsNil)
			}
			until(func() bool { return !runs.Runs()[0].End.IsZero() && !runs.Runs()[1].End.IsZero() })
			c.Check(runs.Runs()[0].Whole, qt.IsFalse)
		})
	}
}

func TestBackendDrains(t *testing.T) {
	c := qt.New(t)
	runs := &standin.RunLog{}
	b := &standin.Backend{Name: "b1", Slots: 3, Runs: runs}
	url := backend(c, b)
	health := func() int {
		got, err := request(c, "GET", url+"/health", "")
		c.Assert(err, qt.IsNil)
		return got.status
	}
	c.Check(health(), qt.Equals, 200)
	_, err := request(c, "POST", url+"/admin/drain", "")
	c.Assert(err, qt.IsNil)
	c.Check(health(), qt.Equals, 503)
	c.Check(b.Load(), qt.Equals, standin.Load{Server: "b1", Slots: 3, Draining: true})
	_, err = request(c, "GET", url+"/diary", "")
	c.Assert(err, qt.IsNil)
	c.Check(runs.Late(0), qt.Equals, 1)
	c.Check(runs.Late(time.Hour), qt.Equals, 0)
	_, err = request(c, "DELETE", url+"/admin/drain", "")
	c.Assert(err, qt.IsNil)
	c.Check(health(), qt.Equals, 200)
}

func TestBackendFaultsOverHTTP(t *testing.T) {
	c := qt.New(t)
	b := &standin.Backend{Name: "b1"}
	url := backend(c, b)
	got, err := request(c, "PUT", url+"/admin/faults", `{"shed_all":true,"slow_factor":3}`)
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 200)
	c.Check(b.Faults(), qt.Equals, standin.BackendFaults{ShedAll: true, SlowFactor: 3})
	got, err = request(c, "PUT", url+"/admin/faults", `{"shed_all":`)
	c.Assert(err, qt.IsNil)
	c.Check(got.status, qt.Equals, 400)
	c.Check(b.Faults().ShedAll, qt.IsTrue)
}
