package rollout_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/rollout"
	"github.com/yuccaport/yuccaport/src/wire"
)

// BenchmarkNodeReport measures what a coordinator spends on one report of a server with four routes;
// with 124 servers there are 620 a second.
func BenchmarkNodeReport(b *testing.B) {
	c := qt.New(b)
	f := newNodeFleet(c, 4, nil)
	f.store.Put("mesh/order/s", []byte("v2"))
	f.await(c, "running", time.Second)
	node := f.nodes[1]
	var tally rollout.Tally
	for i := range 1000 {
		tally.Add(time.Now(), rollout.Sample{Route: string(rune('a' + i%4)), Duration: time.Duration(i) * time.Millisecond / 4, Load: float64(i%10) / 10})
	}
	report := wire.RolloutReport{Order: node.Routing("s").Order, Service: "s", Member: 3, Version: "v2", Routes: tally.Routes()}
	payload, err := report.MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	for b.Loop() {
		if _, err := node.ServeMessage(context.Background(), link.Peer{}, link.KindRollout, payload); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(payload)), "B/report")
}
