package standin

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/clock"
)

// peekInterval is how often a run looks whether its caller has gone.
const peekInterval = 10 * time.Millisecond

func (b *Backend) handle(c *fasthttp.RequestCtx) {
	if b.Faults().Dead {
		hangUp(c)
		return
	}
	if limit := b.Faults().Limit; limit > 0 {
		c.Response.Header.Set(HeaderLimit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
	switch string(c.Path()) {
	case "/health":
		b.health(c)
	case "/load":
		writeJSON(c, b.Load())
	case "/admin/drain":
		b.Drain(!c.IsDelete())
		writeJSON(c, b.Load())
	case "/admin/faults":
		b.admin(c)
	default:
		b.serve(c)
	}
}

func (b *Backend) health(c *fasthttp.RequestCtx) {
	if b.Load().Draining {
		c.Error("draining", fasthttp.StatusServiceUnavailable)
		return
	}
	if b.Faults().Unhealthy {
		c.Error("unhealthy", fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetBodyString("ok\n")
}

func (b *Backend) admin(c *fasthttp.RequestCtx) {
	f := b.Faults()
	if c.IsPut() {
		f = BackendFaults{}
		if err := json.Unmarshal(readBody(c), &f); err != nil {
			c.Error("faults: "+err.Error()+"; send a JSON object of faults", fasthttp.StatusBadRequest)
			return
		}
		b.SetFaults(f)
		b.Log.Info("faults set", "server", b.Name, "faults", f)
	}
	writeJSON(c, f)
}

// serve runs one request and answers it.
func (b *Backend) serve(c *fasthttp.RequestCtx) {
	token := string(c.Request.Header.Peek(HeaderToken))
	f := b.Faults()
	if f.ShedAll {
		c.Error("shed", fasthttp.StatusServiceUnavailable)
		c.Response.Header.Set(HeaderToken, token)
		c.Response.Header.Set(HeaderNotRun, "1")
		return
	}
	if f.ResetWhenFull && b.Load().InFlight >= b.Slots {
		b.resets.Add(1)
		bc, _ := c.Conn().(*backendConn)
		c.HijackSetNoResponse(true)
		c.Hijack(func(net.Conn) { reset(bc.Conn) })
		return
	}
	c.Response.Header.Set(HeaderToken, token)
	start := time.Now()
	i, work := b.begin(c, start)
	body, answered := b.run(c, f, token, work)
	end := time.Now()
	b.end(i, end, answered)
	if b.CrashPath != "" && string(c.Path()) == b.CrashPath {
		b.crash()
		answered = false
	}
	if !answered {
		hangUp(c)
		return
	}
	c.Response.Header.Set(HeaderHandlerTime, strconv.FormatInt(end.Sub(start).Microseconds(), 10))
	if f.FailAll {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	if f.CutAnswers {
		c.SetBodyStream(bytes.NewReader(body[:len(body)/2]), len(body))
		return
	}
	c.SetBody(body)
}

// crash ends the server with all its connections.
func (b *Backend) crash() {
	b.mu.Lock()
	l := b.listener
	b.mu.Unlock()
	l.crash()
	b.Log.Info("crashed", "server", b.Name, "downtime", b.Downtime.String())
}

// begin records a run and returns how long its work takes.
func (b *Backend) begin(c *fasthttp.RequestCtx, now time.Time) (i int, work time.Duration) {
	b.mu.Lock()
	b.inFlight++
	b.requests++
	after := time.Duration(0)
	if !b.drained.IsZero() {
		after = max(now.Sub(b.drained), 1)
	}
	work = b.work(now)
	b.mu.Unlock()
	i = b.Runs.begin(Run{
		Server:     b.Name,
		Method:     string(c.Method()),
		Path:       string(c.Path()),
		Token:      string(c.Request.Header.Peek(HeaderToken)),
		Key:        string(c.Request.Header.Peek(HeaderKey)),
		Start:      now,
		AfterDrain: after,
	}, b.Slots)
	return i, work
}

func (b *Backend) end(i int, now time.Time, whole bool) {
	b.Runs.end(b.Name, i, now, whole)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

// work returns how long the next request takes; mu is held.
func (b *Backend) work(now time.Time) time.Duration {
	r := rand.New(rand.NewPCG(b.Seed, b.requests))
	d := float64(b.Work) * (1 + b.Jitter*(2*r.Float64()-1))
	if left := b.ColdStart - now.Sub(b.started); left > 0 {
		d *= 1 + (coldFactor-1)*float64(left)/float64(b.ColdStart)
	}
	if b.faults.SlowFactor > 0 {
		d *= b.faults.SlowFactor
	}
	return time.Duration(d)
}

// run does a request's work and returns its answer, or false when its caller has gone.
func (b *Backend) run(c *fasthttp.RequestCtx, f BackendFaults, token string, work time.Duration) ([]byte, bool) {
	if f.AcceptNeverAnswer {
		b.wait(c, time.Hour)
		return nil, false
	}
	late := false
	if ms, err := strconv.Atoi(string(c.Request.Header.Peek(HeaderDeadline))); err == nil {
		limit := time.Duration(ms) * time.Millisecond
		late = limit < work
		work = min(work, limit)
	}
	body, ok := b.answer(c, token)
	if !ok || !b.wait(c, work) {
		return nil, false
	}
	if late {
		c.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
	return body, true
}

// answer reads the request and returns the body of its answer.
func (b *Backend) answer(c *fasthttp.RequestCtx, token string) ([]byte, bool) {
	if !c.IsPost() && !c.IsPut() {
		size, _ := c.QueryArgs().GetUint("size")
		return Body(string(c.Method()), string(c.Path()), token, size), true
	}
	h := xxh3.New()
	n, err := io.Copy(h, requestBody(c))
	if err != nil {
		return nil, false
	}
	sum := h.Sum128().Bytes()
	out, err := json.Marshal(Upload{Token: token, Path: string(c.Path()), Length: n, XXH3: hex.EncodeToString(sum[:])})
	c.SetContentType("application/json")
	return out, err == nil
}

// wait spends the time of the work and is false when the caller has gone or the server stops.
func (b *Backend) wait(c *fasthttp.RequestCtx, work time.Duration) bool {
	conn, _ := c.Conn().(*backendConn)
	for end := time.Now().Add(work); ; {
		left := time.Until(end)
		if left <= 0 {
			return true
		}
		if !clock.Sleep(b.ctx, min(left, peekInterval)) {
			return false
		}
		if conn != nil && conn.gone() {
			return false
		}
	}
}

func requestBody(c *fasthttp.RequestCtx) io.Reader {
	if s := c.RequestBodyStream(); s != nil {
		return s
	}
	return bytes.NewReader(c.PostBody())
}

func readBody(c *fasthttp.RequestCtx) []byte {
	b, err := io.ReadAll(requestBody(c))
	if err != nil {
		return nil
	}
	return b
}
