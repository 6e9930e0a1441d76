package roster

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/yuccaport/yuccaport/src/trace"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	inboundQueue = 256 // datagrams
	askQueue     = 16
	resultQueue  = 16
	storeQueue   = 32
)

// Run takes part in the roster until ctx is over and every goroutine has ended.
func (n *Node) Run(ctx context.Context) error {
	n.once.Do(n.init)
	defer close(n.stopped)
	n.core = n.newCore()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { n.read(ctx) })
	wg.Go(func() { n.serveStore(ctx) })
	wg.Go(func() { n.serveExchanges(ctx) })
	n.loop(ctx)
	cancel()
	err := n.Conn.Close()
	wg.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// newCore draws the core's seed, so that a recorded run can be replayed.
func (n *Node) newCore() *Core {
	seed := n.Rand.Int64()
	c := &Core{
		Self:     n.Self,
		Timing:   NewTiming(n.Profile),
		Rand:     newRand(seed),
		Peers:    n.Peers,
		HasStore: n.Store != nil,
	}
	if n.Record != nil && len(n.Record.Header.Settings) == 0 {
		b, _ := json.Marshal(coreSettings{Self: c.Self, Timing: c.Timing, Peers: c.Peers, HasStore: c.HasStore})
		n.Record.Header = trace.Header{Core: CoreName, Title: "roster of a running daemon", Seed: seed, Settings: b}
	}
	return c
}

func newRand(seed int64) *rand.Rand { return rand.New(rand.NewPCG(uint64(seed), 0)) }

func (n *Node) loop(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			n.finish()
			return
		case <-t.C:
			n.step(Tick{Version: n.Version()})
		case <-n.wake:
			n.heed()
		case r := <-n.inbound:
			n.step(r)
		case a := <-n.asks:
			n.stepAsk(a)
		case e := <-n.results:
			n.step(e)
		}
	}
}

// heed passes on what SetReady and Leave have stored.
func (n *Node) heed() {
	if !n.leaving.Load() {
		n.step(ReadyChanged{Ready: n.ready.Load()})
		return
	}
	n.step(LeaveAsked{})
	n.publish()
	select {
	case <-n.left:
	default:
		close(n.left)
	}
}

// finish announces this member's end if it was planned.
func (n *Node) finish() {
	if n.leaving.Load() {
		n.heed()
		n.step(StopAsked{})
	}
}

func (n *Node) step(e Event) {
	for _, a := range n.decide(e) {
		n.act(a)
	}
}

// decide steps the core and records what it decides.
func (n *Node) decide(e Event) []Action {
	now := n.Now()
	actions := n.core.Step(now, e)
	if n.Record != nil {
		if out, err := trace.Outcomes(actions); err == nil {
			n.Record.Record(now, e, out)
		}
	}
	if *n.self.Load() != n.core.Self {
		self := n.core.Self
		n.self.Store(&self)
	}
	return actions
}

func (n *Node) act(a Action) {
	switch a := a.(type) {
	case Send:
		n.send(a)
	case Ahead:
		n.ahead(a)
	case ViewChanged:
		n.publish()
	case Changed:
		n.logChange(a)
	case Alarm:
		n.counters.deaths.Add(a.Died)
		n.Log.Info("members lost", "domain", a.Domain, "died", a.Died, "left", a.Remaining, "sample", a.Sample)
	case Exchange:
		n.exchange(a)
	case ReadSeeds, WriteSeeds, ReadDomains, WriteDomains:
		n.callStore(a)
	}
}

func (n *Node) ahead(a Ahead) {
	if n.OnNewerVersion != nil && a.Version > n.Version() {
		n.OnNewerVersion(a.Peer, a.Version)
	}
}

func (n *Node) publish() {
	v := n.core.View()
	lost := n.core.Lost()
	n.view.Store(v)
	n.lost.Store(&lost)
	if n.OnViewChange != nil {
		n.OnViewChange(v)
	}
}

func (n *Node) logChange(a Changed) {
	if a.State == wire.StateSuspect {
		n.counters.suspicions.Inc()
	}
	n.Log.V(1).Info("member changed", "member", a.ID, "addr", a.Addr, "domain", a.Domain, "state", a.State, "reason", a.Reason)
}
