package bench

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/standin"
)

// callKind is what a caller asks for.
type callKind uint8

const (
	kindRead    callKind = iota // a small answer
	kindLong                    // an answer that is streamed
	kindPhoto                   // an upload
	kindPayment                 // with an idempotency key
)

const (
	readSize  = 512     // bytes of a small answer
	longSize  = 150_000 // bytes of a long answer
	photoSize = 200_000 // bytes of an upload
	callLimit = time.Minute
)

// resultKind is how a call has ended.
type resultKind uint8

const (
	resultOK resultKind = iota
	resultNotRun
	resultFailed
	resultCrossed
	resultTruncated
	resultExcluded // the caller's own daemon was killed under it
)

// callResult is what a caller has seen of one call.
type callResult struct {
	kind    resultKind
	token   string
	reason  string
	took    time.Duration // since the call was due
	handler time.Duration // of the backend server
	plain   bool          // a small read, whose added time is measured
	once    bool          // must run at most once
}

// routeCall is one call of a caller.
type routeCall struct {
	kind  callKind
	host  string
	path  string
	token string
	key   string // of a payment
	first string // token of the first sending of a payment, whose answer is repeated
	due   time.Time
	body  []byte
}

func (c *routeCall) method() string {
	switch c.kind {
	case kindPhoto:
		return fasthttp.MethodPut
	case kindPayment:
		return fasthttp.MethodPost
	}
	return fasthttp.MethodGet
}

func (c *routeCall) size() int {
	if c.kind == kindLong {
		return longSize
	}
	return readSize
}

// doer sends a request.
type doer interface {
	DoTimeout(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error
}

// do sends the call and judges its answer.
func (c *routeCall) do(client doer) callResult {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(c.method())
	uri := c.path
	if c.kind == kindRead || c.kind == kindLong {
		uri += "?size=" + strconv.Itoa(c.size())
	}
	req.SetRequestURI("http://" + c.host + uri)
	req.Header.Set(standin.HeaderToken, c.token)
	if c.key != "" {
		req.Header.Set(standin.HeaderKey, c.key)
	}
	req.SetBodyRaw(c.body)
	err := client.DoTimeout(req, resp, callLimit)
	r := callResult{token: c.token, took: time.Since(c.due), plain: c.kind == kindRead, once: c.kind == kindPayment}
	if err != nil {
		r.kind, r.reason = resultFailed, "error: "+err.Error()
		return r
	}
	c.judge(resp, &r)
	return r
}

// judge compares an answer with what the call asked for.
func (c *routeCall) judge(resp *fasthttp.Response, r *callResult) {
	if resp.StatusCode() != fasthttp.StatusOK {
		c.judgeRefusal(resp, r)
		return
	}
	us, _ := strconv.ParseInt(string(resp.Header.Peek(standin.HeaderHandlerTime)), 10, 64)
	r.handler = time.Duration(us) * time.Microsecond
	body := resp.Body()
	token := string(resp.Header.Peek(standin.HeaderToken))
	switch {
	case token != c.token && (c.first == "" || token != c.first):
		r.kind = resultCrossed
	case len(c.body) == 0 && !bytes.Equal(body, standin.Body(c.method(), c.path, c.token, c.size())):
		r.kind = resultTruncated
	case len(c.body) > 0 && !c.confirms(body, token):
		r.kind = resultTruncated
	}
}

func (c *routeCall) judgeRefusal(resp *fasthttp.Response, r *callResult) {
	var b struct {
		Reason string `json:"reason"`
	}
	_ = json.Unmarshal(resp.Body(), &b)
	outcome := string(resp.Header.Peek("Yuccaport-Outcome"))
	r.reason = fmt.Sprintf("%d %s %s", resp.StatusCode(), outcome, b.Reason)
	r.kind = resultFailed
	if outcome == "not-run" {
		r.kind = resultNotRun
	}
}

// confirms tells whether the answer to an upload names the bytes that were sent.
func (c *routeCall) confirms(body []byte, token string) bool {
	var u standin.Upload
	if json.Unmarshal(body, &u) != nil {
		return false
	}
	sum := xxh3.Hash128(c.body).Bytes()
	return u.Token == token && u.Length == int64(len(c.body)) && u.XXH3 == hex.EncodeToString(sum[:])
}
