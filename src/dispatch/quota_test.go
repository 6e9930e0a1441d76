package dispatch_test

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// fakeQuota counts credits.
type fakeQuota struct {
	refuses bool

	mu          sync.Mutex
	taken, back int
	maxWait     time.Duration
}

// Take counts a credit, or states 1.5 s if the quota refuses.
func (q *fakeQuota) Take(_ context.Context, _ time.Time, _ string, maxWait time.Duration) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.taken++
	q.maxWait = maxWait
	return 1500 * time.Millisecond, !q.refuses
}

// GiveBack counts a credit that is returned.
func (q *fakeQuota) GiveBack(time.Time, string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.back++
}

// Guards against credit that is lost with a request that does not run, taken twice for a retry or
// taken for a request without a tenant.
func TestQuota(t *testing.T) {
	key := "Authorization: Bearer " + tenantKey
	tests := map[string]struct {
		request     string
		outcome     link.Outcome
		refuses     bool
		status      int
		taken, back int
	}{
		"answered":         {request("GET", "/diary", "", key), nil, false, 200, 1, 0},
		"answered 500":     {request("GET", "/diary", "", key), newReply(500, ""), false, 500, 1, 0},
		"may have run":     {request("POST", "/diary", "", key), newRefusal(wire.ReasonLinkLost, true), false, 502, 1, 0},
		"retries, not run": {request("POST", "/diary", "", key), newRefusal(wire.ReasonQueueFull, false), false, 503, 1, 1},
		"no credit":        {request("POST", "/diary", "short body", key), nil, true, 429, 1, 0},
		"body too large":   {request("POST", "/diary", strings.Repeat("x", 2000), key), nil, false, 413, 0, 0},
		"chunks too large": {"POST /diary HTTP/1.1\r\nHost: bookings.example\r\n" + key + "\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", nil, false, 413, 1, 1},
		"public":           {request("GET", "/inner", "", key), nil, false, 200, 0, 0},
		"unknown key":      {request("GET", "/diary", "", key+"x"), nil, false, 401, 0, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			quota := &fakeQuota{refuses: tc.refuses}
			c, p := startTenantProxy(t, func(p *dispatch.Proxy) {
				p.Quota = quota
				p.Limits = func() dispatch.Limits { return dispatch.Limits{BodyBytes: 1000} }
				p.Settings.Deadline = 800 * time.Millisecond
			})
			p.mu.Lock()
			p.outcome = tc.outcome
			p.mu.Unlock()
			resp, err := http.ReadResponse(bufio.NewReader(p.sendRaw(c, tc.request)), nil)
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			c.Check(resp.StatusCode, qt.Equals, tc.status)
			if tc.refuses {
				c.Check(resp.Header.Get("Retry-After"), qt.Equals, "1.500")
				c.Check(resp.Close, qt.IsFalse)
				c.Check(p.logged(), qt.Matches, `(?s).*"tenant":"acme","request_id":"r-1","reason":"quota".*`)
				c.Check(p.sent(), qt.HasLen, 0)
			}
			quota.mu.Lock()
			defer quota.mu.Unlock()
			c.Check(quota.taken, qt.Equals, tc.taken)
			c.Check(quota.back, qt.Equals, tc.back)
			if quota.taken > 0 {
				c.Check(quota.maxWait, qt.Equals, 100*time.Millisecond)
			}
		})
	}
}
