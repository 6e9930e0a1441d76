package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/clock"
)

const (
	maxCallsOut     = 4096 // calls of one caller that are under way; further ones are late
	rareRate        = 1.0  // payments, uploads and long answers a second and daemon
	maxRareShare    = 0.02 // of the calls
	repeatShare     = 0.25 // of the payments are sent again
	repeatAfter     = 100 * time.Millisecond
	dialTimeout     = time.Second
	idleConn        = 30 * time.Second
	maxClientConns  = 8192
	clientReadLimit = callLimit
)

// routeCaller sends calls at their due times, whether or not earlier ones have been answered.
type routeCaller struct {
	route  *Route
	node   *Node
	rand   *rand.Rand
	tally  *routeTally
	client *fasthttp.HostClient
	prefix string      // of its tokens
	gone   atomic.Bool // its daemon has been killed

	out sync.WaitGroup
	n   int
}

func (c *routeCaller) connect() {
	c.client = &fasthttp.HostClient{
		Addr: "daemon", Dial: c.dial, MaxConns: maxClientConns, MaxIdleConnDuration: idleConn, ReadTimeout: clientReadLimit,
		MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader: true, MaxResponseBodySize: 1 << 20,
	}
}

// dial connects to the daemon beside the caller, or to another one while that is replaced.
func (c *routeCaller) dial(string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", c.node.ProxyAddr().String(), dialTimeout)
	if err == nil || c.gone.Load() {
		return conn, err
	}
	for _, n := range c.route.fleet.Nodes() {
		if !n.Running() {
			continue
		}
		if conn, err = net.DialTimeout("tcp", n.ProxyAddr().String(), dialTimeout); err == nil {
			return conn, nil
		}
	}
	return nil, err
}

// run sends calls until ctx is over and waits for their answers.
func (c *routeCaller) run(ctx context.Context) {
	slots := make(chan struct{}, maxCallsOut)
	due := time.Now()
	for !c.gone.Load() {
		due = due.Add(time.Duration(c.rand.ExpFloat64() / c.route.Rate * float64(time.Second)))
		if !clock.Sleep(ctx, time.Until(due)) {
			break
		}
		call := c.next(due)
		slots <- struct{}{}
		c.out.Go(func() {
			c.send(call)
			<-slots
		})
	}
	c.out.Wait()
	c.client.CloseIdleConnections()
}

// send sends a call, and some payments a second time.
func (c *routeCaller) send(call *routeCall) {
	c.note(call.do(c.client))
	if call.kind == kindPayment && xorShare(call.token) < repeatShare {
		time.Sleep(repeatAfter)
		call.due, call.first, call.token = time.Now(), call.token, call.token+"-again"
		c.note(call.do(c.client))
	}
}

func (c *routeCaller) note(r callResult) {
	if r.kind == resultFailed && c.gone.Load() {
		return
	}
	c.tally.note(r)
}

// next draws a call.
func (c *routeCaller) next(due time.Time) *routeCall {
	c.n++
	m := c.route.mix[c.rand.IntN(len(c.route.mix))]
	call := &routeCall{host: m.host, path: m.read, due: due, token: fmt.Sprintf("%s%d-%d", c.prefix, c.node.Index, c.n)}
	rare := min(maxRareShare, rareRate/c.route.Rate)
	x := c.rand.Float64()
	switch {
	case x < rare && m.payment != "":
		call.kind, call.path, call.key, call.body = kindPayment, m.payment, "key-"+call.token, []byte("25.00 "+call.token)
	case x >= rare && x < 2*rare && m.photo != "":
		call.kind, call.path, call.body = kindPhoto, m.photo, c.route.photo
	case x >= 2*rare && x < 3*rare:
		call.kind = kindLong
	}
	return call
}

// xorShare turns a token into a number from 0 to 1 that is the same in each run.
func xorShare(token string) float64 {
	h := uint32(2166136261)
	for i := range len(token) {
		h = (h ^ uint32(token[i])) * 16777619
	}
	return float64(h) / (1 << 32)
}
