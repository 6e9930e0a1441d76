package standin_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/standin"
)

// backend runs a backend server until the test ends and returns its URL.
func backend(c *qt.C, b *standin.Backend) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	b.Listener = ln
	b.Log = logr.Discard()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	return "http://" + ln.Addr().String()
}

type reply struct {
	status int
	header http.Header
	body   []byte
}

func request(c *qt.C, method, url, body string) (reply, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	req.Header.Set(standin.HeaderToken, "t1")
	req.Header.Set(standin.HeaderKey, "k1")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: got}, err
}

func TestBackendAnswersNameTheirRequest(t *testing.T) {
	c := qt.New(t)
	runs := &standin.RunLog{}
	url := backend(c, &standin.Backend{Name: "b1", Slots: 1, Connections: 1, Work: time.Millisecond, Runs: runs})
	got, err := request(c, "GET", url+"/diary?size=3000", "")
	c.Assert(err, qt.IsNil)
	c.Check(got.header.Get(standin.HeaderToken), qt.Equals, "t1")
	c.Check(got.header.Get(standin.HeaderHandlerTime), qt.Not(qt.Equals), "")
	c.Check(got.body, qt.DeepEquals, standin.Body("GET", "/diary", "t1", 3000))
	got, err = request(c, "POST", url+"/pay", "money")
	c.Assert(err, qt.IsNil)
	var up standin.Upload
	c.Assert(json.Unmarshal(got.body, &up), qt.IsNil)
	c.Check(up.Length, qt.Equals, int64(5))
	c.Check(runs.Count("t1"), qt.Equals, 2)
	c.Check(runs.CountKey("k1"), qt.Equals, 2)
	c.Check(runs.Doubled(), qt.Equals, 1)
	c.Check(runs.SlotsExceeded(), qt.Equals, 0)
	c.Check(runs.MaxInFlight(), qt.Equals, 1)
}

func TestBackendFaults(t *testing.T) {
	tests := map[string]struct {
		faults standin.BackendFaults
		status int // 0: no whole answer
		runs   int
	}{
		"none":    {standin.BackendFaults{}, 200, 1},
		"shed":    {standin.BackendFaults{ShedAll: true}, 503, 0},
		"fail":    {standin.BackendFaults{FailAll: true}, 500, 1},
		"cut":     {standin.BackendFaults{CutAnswers: true}, 0, 1},
		"refuse":  {standin.BackendFaults{RefuseConnections: true}, 0, 0},
		"dead":    {standin.BackendFaults{Dead: true}, 0, 0},
		"offline": {standin.BackendFaults{Unhealthy: true}, 200, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			runs := &standin.RunLog{}
			url := backend(c, &standin.Backend{Name: "b1", Start: tc.faults, Runs: runs})
			got, err := request(c, "POST", url+"/pay", "money")
			if tc.status == 0 {
				c.Check(err, qt.IsNotNil)
			} else {
				c.Assert(err, qt.IsNil)
				c.Check(got.status, qt.Equals, tc.status)
			}
			c.Check(runs.Count("t1"), qt.Equals, tc.runs)
		})
	}
}
