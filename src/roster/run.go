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
	requestQueue = 16
	resultQueue  = 16
	storeQueue   = 32
)

// Run takes part in the roster until ctx is done. If Leave was called, it then announces that this member has left;
// otherwise it ends without notice. It closes Conn and returns once all goroutines have ended. An error
// is that of closing Conn. Run must be called at most once.
func (n *Node) Run(ctx context.Context) error {
	n.once.Do(n.init)
	defer close(n.stopped)
	n.core = n.newCore()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { n.readDatagrams(ctx) })
	wg.Go(func() { n.runStoreActions(ctx) })
	wg.Go(func() { n.runExchanges(ctx) })
	n.loop(ctx)
	cancel()
	err := n.Conn.Close()
	wg.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// newCore returns the core with a random seed, which is recorded so that a run can be replayed.
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

// loop steps the core with each event until ctx is done.
func (n *Node) loop(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			n.announceStop()
			return
		case <-t.C:
			n.step(Tick{Version: n.Version()})
		case <-n.wake:
			n.stepLocalState()
		case r := <-n.inbound:
			n.step(r)
		case req := <-n.requests:
			n.stepRequest(req)
		case e := <-n.results:
			n.step(e)
		}
	}
}

// stepLocalState steps the core with what SetReady and Leave have stored.
func (n *Node) stepLocalState() {
	if !n.leaving.Load() {
		n.step(ReadyChanged{Ready: n.ready.Load()})
		return
	}
	n.step(LeaveAsked{})
	n.publishView()
	select {
	case <-n.leaveAnnounced:
	default:
		close(n.leaveAnnounced)
	}
}

// announceStop announces that this member has left, if Leave was called.
func (n *Node) announceStop() {
	if n.leaving.Load() {
		n.stepLocalState() // loop may not have handled the Leave yet
		n.step(StopAsked{})
	}
}

func (n *Node) step(e Event) {
	for _, a := range n.stepAndRecord(e) {
		n.execute(a)
	}
}

// stepAndRecord steps the core, records the event with its actions and returns the actions.
func (n *Node) stepAndRecord(e Event) []Action {
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

// execute carries out an action of the core.
func (n *Node) execute(a Action) {
	switch a := a.(type) {
	case Send:
		n.send(a)
	case Ahead:
		n.reportNewerVersion(a)
	case ViewChanged:
		n.publishView()
	case Changed:
		n.logChange(a)
	case Alarm:
		n.counters.deaths.Add(a.Died)
		n.Log.Info("members lost", "domain", a.Domain, "died", a.Died, "left", a.Remaining, "sample", a.Sample)
	case Exchange:
		n.queueExchange(a)
	case ReadSeeds, WriteSeeds, ReadDomains, WriteDomains:
		n.queueStoreAction(a)
	}
}

func (n *Node) reportNewerVersion(a Ahead) {
	if n.OnNewerVersion != nil && a.Version > n.Version() {
		n.OnNewerVersion(a.Peer, a.Version)
	}
}

// publishView stores the core's view for View and Lost and calls OnViewChange.
func (n *Node) publishView() {
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
