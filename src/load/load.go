package load

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alitto/pond/v2"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/clock"
)

const (
	maxInFlight   = 4096 // calls at once; a call that finds all of them taken starts late, which its latency shows
	outcomeField  = "yuccaport-outcome"
	outcomeNotRun = "not-run"
	outcomeMay    = "may-have-run"
)

// Load is a steady stream of equal calls, sent to the proxies in turn.
type Load struct {
	Proxies  []netip.AddrPort
	Method   string
	Host     string
	Path     string
	Keys     bool // each call carries an idempotency key of its own
	Body     []byte
	Rate     float64 // calls a second
	Duration time.Duration
	Timeout  time.Duration // longest wait for one answer

	client fasthttp.Client
	run    string // joins the keys of one run

	mu     sync.Mutex
	times  *hdrhistogram.Histogram
	report Report
}

// Run sends calls until the duration or ctx is over, and waits for the last answers.
func (l *Load) Run(ctx context.Context) Report {
	l.client = fasthttp.Client{
		MaxConnsPerHost:           maxInFlight,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	l.times = newHistogram()
	l.run = fmt.Sprintf("%x", time.Now().UnixNano())
	workers := pond.NewPool(maxInFlight)
	start := time.Now()
	calls := int(l.Rate * l.Duration.Seconds())
	for i := range calls {
		due := start.Add(time.Duration(float64(i) / l.Rate * float64(time.Second)))
		if !clock.Sleep(ctx, time.Until(due)) {
			break
		}
		workers.Submit(func() { l.call(i, due) })
	}
	workers.StopAndWait()
	l.client.CloseIdleConnections()
	l.report.measure(l.times)
	return l.report
}

// call sends the i-th call.
func (l *Load) call(i int, due time.Time) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + l.Proxies[i%len(l.Proxies)].String() + l.Path)
	req.UseHostHeader = true
	req.Header.SetHost(l.Host)
	req.Header.SetMethod(l.Method)
	if l.Keys {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("load-%s-%d", l.run, i))
	}
	if len(l.Body) > 0 {
		req.SetBody(l.Body)
	}
	err := l.client.DoTimeout(req, resp, l.Timeout)
	l.count(resp, err, time.Since(due))
}

func (l *Load) count(resp *fasthttp.Response, err error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Calls++
	_ = l.times.RecordValue(min(took, maxLatency).Microseconds())
	outcome := string(resp.Header.Peek(outcomeField))
	switch {
	case err != nil:
		l.report.Failed++
	case outcome == outcomeNotRun:
		l.report.NotRun++
	case outcome == outcomeMay:
		l.report.MayHaveRun++
	case resp.StatusCode() < fasthttp.StatusBadRequest:
		l.report.OK++
	default:
		l.report.Failed++
	}
}
