package demo

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/standin"
)

const (
	callTimeout   = 5 * time.Second
	maxRepeats    = 5                     // of a call that a caller may safely repeat
	repeatPause   = 50 * time.Millisecond // before a repeat when the answer names no other
	maxPause      = 2 * time.Second
	maxAnswerSize = 4 << 20 // bytes
	photoSize     = 256 << 10
	outcomeField  = "yuccaport-outcome"
	outcomeNotRun = "not-run"
)

// Shares of the calls, of drawOf; the rest are payments.
const (
	drawOf       = 100
	diaryShare   = 55
	historyShare = 30
	photoShare   = 10
)

// verdict is what a caller makes of one call.
type verdict int

const (
	whole verdict = iota
	failed
	mayHaveRun
	crossed
	truncated
)

// request is one call that a caller wants answered.
type request struct {
	method string
	host   string
	path   string
	name   string // differs between requests
	token  string // differs between the attempts at a request
	key    string // idempotency key of a payment
	size   int    // of the answer to a read, or of an upload
}

// owns tells whether an answer with this token is the request's own; the recorded answer of a payment carries that of the attempt that ran.
func (r request) owns(token string) bool {
	return token == r.token || r.key != "" && strings.HasPrefix(token, r.name+".")
}

// caller sends requests to daemons as a van's or a dock's application would.
type caller struct {
	proxies func() []netip.AddrPort // daemons that take callers now
	rand    *rand.Rand
	client  *fasthttp.Client
	refused []string // tokens of the attempts answered as not run
}

func newCaller(proxies func() []netip.AddrPort, seed uint64) *caller {
	return &caller{
		proxies: proxies,
		rand:    rand.New(rand.NewPCG(seed, 0)),
		client: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxAnswerSize,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// next draws a request: mostly reads, some photo uploads and deposits.
func (c *caller) next(n int) request {
	name := fmt.Sprintf("%016x-%d", c.rand.Uint64(), n)
	switch k := c.rand.IntN(drawOf); {
	case k < diaryShare:
		return request{method: "GET", host: "bookings.example", path: "/diary/" + name, name: name, size: c.rand.IntN(32 << 10)}
	case k < diaryShare+historyShare:
		return request{method: "GET", host: "jobrecords.example", path: "/histories/" + name, name: name}
	case k < diaryShare+historyShare+photoShare:
		return request{method: "PUT", host: "bookings.example", path: "/photos/" + name, name: name, size: c.rand.IntN(photoSize)}
	default:
		return request{method: "POST", host: "bookings.example", path: "/deposits", name: name, key: "key-" + name, size: 64}
	}
}

// do sends a request, repeating it where that is safe, until it has an answer.
func (c *caller) do(r request) verdict {
	for i := 0; ; i++ {
		r.token = fmt.Sprintf("%s.%d", r.name, i)
		v, pause := c.attempt(r)
		if v == whole || pause == 0 || i == maxRepeats {
			return v
		}
		time.Sleep(pause)
	}
}

// attempt sends a request once and returns how long to wait before a repeat, 0 for none.
func (c *caller) attempt(r request) (verdict, time.Duration) {
	proxies := c.proxies()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("http://%s%s?size=%d", proxies[c.rand.IntN(len(proxies))], r.path, r.size))
	req.Header.SetHost(r.host)
	req.UseHostHeader = true
	req.Header.SetMethod(r.method)
	req.Header.Set(standin.HeaderToken, r.token)
	if r.key != "" {
		req.Header.Set(standin.HeaderKey, r.key)
	}
	if r.method != "GET" {
		req.SetBody(upload(r))
	}
	if err := c.client.DoTimeout(req, resp, callTimeout); err != nil {
		return failed, repeatPause // the request is idempotent or carries a key
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return c.refusal(r, resp)
	}
	return check(r, resp), 0
}

// refusal reads an answer that is not the request's own; every request may be repeated.
func (c *caller) refusal(r request, resp *fasthttp.Response) (verdict, time.Duration) {
	pause := repeatPause
	if after, err := strconv.Atoi(string(resp.Header.Peek("Retry-After"))); err == nil {
		pause = min(max(time.Duration(after)*time.Second, repeatPause), maxPause)
	}
	if string(resp.Header.Peek(outcomeField)) == outcomeNotRun {
		c.refused = append(c.refused, r.token)
		return failed, pause
	}
	if resp.StatusCode() == fasthttp.StatusConflict {
		return failed, pause
	}
	return mayHaveRun, pause
}

// check compares an answer with the one that the backend stand-in gives to this request.
func check(r request, resp *fasthttp.Response) verdict {
	if got := string(resp.Header.Peek(standin.HeaderToken)); !r.owns(got) {
		return crossed
	}
	if r.method != "GET" {
		return checkUpload(r, resp.Body())
	}
	want := standin.Body(r.method, r.path, r.token, r.size)
	switch body := resp.Body(); {
	case bytes.Equal(body, want):
		return whole
	case bytes.HasPrefix(want, body):
		return truncated
	}
	return crossed
}

func checkUpload(r request, body []byte) verdict {
	var u standin.Upload
	if err := json.Unmarshal(body, &u); err != nil {
		return truncated
	}
	sum := xxh3.Hash128(upload(r)).Bytes()
	switch {
	case !r.owns(u.Token):
		return crossed
	case u.Length != int64(r.size) || u.XXH3 != hex.EncodeToString(sum[:]):
		return truncated
	}
	return whole
}

// upload returns a body of the request's size that differs between requests.
func upload(r request) []byte {
	return []byte(strings.Repeat(r.name, r.size/len(r.name)+1)[:r.size])
}
