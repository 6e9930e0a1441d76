package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/standin"
)

const maxDirectRate = 200.0 // calls a second

// direct calls a backend server of its own without a daemon between, for comparison in the same run.
func (r *Route) direct(ctx context.Context, tally *routeTally) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d := r.Deployment
	b := &standin.Backend{Listener: l, Name: "direct", Slots: d.Slots, Connections: d.Connections, ConnectCost: d.ConnectCost, Work: d.WorkTime, Jitter: workJitter, Seed: r.Seed}
	serving, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Run(serving) }()
	c := &routeCaller{route: r, tally: tally, rand: rand.New(rand.NewPCG(r.Seed, 1))}
	c.connect()
	c.client.Dial = func(string) (net.Conn, error) { return net.DialTimeout("tcp", l.Addr().String(), dialTimeout) }
	c.runDirect(ctx, min(r.Rate, maxDirectRate))
	stop()
	return <-done
}

func (c *routeCaller) runDirect(ctx context.Context, rate float64) {
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(c.rand.ExpFloat64() / rate * float64(time.Second)))
		if !clock.Sleep(ctx, time.Until(due)) {
			break
		}
		call := &routeCall{host: "direct.example", path: c.route.mix[0].read, token: fmt.Sprintf("direct-%d", n), due: due}
		c.out.Go(func() { c.tally.noteDirect(call.do(c.client)) })
	}
	c.out.Wait()
	c.client.CloseIdleConnections()
}

var _ doer = (*fasthttp.HostClient)(nil)
