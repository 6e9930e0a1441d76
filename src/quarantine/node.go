package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
	"github.com/yuccaport/yuccaport/src/workers"
)

const (
	peerTimeout     = time.Second // for a peer to answer a report
	maxSends        = 512         // reports in flight; what is left out is made up for by Compare
	minCompareDelay = 100 * time.Millisecond
	startPeers      = 2 // asked by a new daemon
	startPollDelay  = 50 * time.Millisecond
)

// Node keeps the Core of a daemon and exchanges crashes with the other daemons.
//
// Its exported fields are set before the first use; Self, Members and Exchanger are required. A nil
// Node allows every request. Its methods may be called concurrently; Run must be called at most
// once.
type Node struct {
	Self      uint64               // member ID of this daemon
	Members   func() []wire.Member // all daemons, this one included or not
	Exchanger link.Exchanger
	Claimer   Claimer // nil to make no probes
	Log       logr.Logger
	Metrics   *metrics.Set     // nil for a new set
	Now       func() time.Time // nil for time.Now

	once     sync.Once
	pool     workers.Pool
	suspects atomic.Int64 // number of suspects; while it is 0 no call takes mu
	digest   atomic.Uint64
	refused  *metrics.Counter
	probes   *metrics.Counter

	mu         sync.Mutex
	core       Core
	comparing  bool
	comparedAt time.Time
	compared   [2]uint64 // digests of this daemon after the last comparison, and of the peer before it
}

func (n *Node) init() {
	n.once.Do(func() {
		if n.Now == nil {
			n.Now = time.Now
		}
		if n.Metrics == nil {
			n.Metrics = metrics.NewSet()
		}
		if n.Log.GetSink() == nil {
			n.Log = logr.Discard()
		}
		n.pool.Max = maxSends
		n.refused = n.Metrics.GetOrCreateCounter("yuccaport_quarantine_refused_total")
		n.probes = n.Metrics.GetOrCreateCounter("yuccaport_quarantine_probes_total")
		n.Metrics.GetOrCreateGauge("yuccaport_quarantine_suspects", func() float64 { return float64(n.suspects.Load()) })
		n.Metrics.GetOrCreateGauge("yuccaport_quarantine_requests", func() float64 { return float64(len(n.Entries())) })
	})
}

// Run asks a few peers for the crashes that they know, once there are any peers, and returns when
// ctx is done.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	defer n.pool.StopAndWait()
	for clock.Sleep(ctx, startPollDelay) {
		peers := n.peers()
		if len(peers) == 0 {
			continue
		}
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		for _, m := range peers[:min(startPeers, len(peers))] {
			n.exchange(link.Peer{ID: m.ID, Addr: m.Addr})
		}
		break
	}
	<-ctx.Done()
	return nil
}

// peers returns the members other than this daemon.
func (n *Node) peers() []wire.Member {
	return slices.DeleteFunc(slices.Clone(n.Members()), func(m wire.Member) bool { return m.ID == n.Self })
}

// step passes an event to the core and carries out the actions.
func (n *Node) step(e Event) {
	n.init()
	n.mu.Lock()
	actions := n.core.Step(n.Now(), e)
	n.suspects.Store(int64(len(n.core.suspects)))
	n.digest.Store(n.core.Digest())
	n.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case Broadcast:
			n.broadcast(a)
		case Quarantined:
			instances, times := []string{}, []string{}
			for _, crash := range a.Crashes {
				instances = append(instances, crash.Instance)
				times = append(times, crash.Time.UTC().Format(time.RFC3339Nano))
			}
			n.Log.Info("request quarantined", "reason", "backend servers crashed while they ran it", "content", FormatContent(a.Content), "instances", instances, "crashed_at", times)
		case Cleared:
			n.Log.Info("request allowed again", "reason", "a backend server answered it, or an operator released it", "content", FormatContent(a.Content))
		}
	}
}

// Crashed reports the crash of an instance of the backend server and the contents of the requests
// that it ran.
func (n *Node) Crashed(instance string, contents []uint64) {
	if n == nil || len(contents) == 0 {
		return
	}
	n.step(Crashed{ID: rand.Uint64(), Instance: instance, Contents: contents})
}

// Answered reports that the backend server has answered a request completely, other than with a
// failure of its own.
func (n *Node) Answered(content uint64, took time.Duration) {
	if n != nil && content != 0 {
		n.step(Answered{Content: content, Took: took})
	}
}

// IsRepeated reports whether more than one backend server has crashed under a request.
func (n *Node) IsRepeated(content uint64) bool {
	if n == nil || n.suspects.Load() == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.IsRepeated(content)
}

// Refuses returns the refusal of a request that is quarantined and not due for a probe, and true;
// otherwise false.
func (n *Node) Refuses(content uint64) (wire.Refusal, bool) {
	r, ok := n.verdict(content).(Refused)
	if !ok {
		return wire.Refusal{}, false
	}
	n.refused.Inc()
	return newRefusal(r.RetryAfter), true
}

// Admit decides about a request that is about to be sent to the backend server. It claims a probe
// that is due, which takes a call to the store. It returns a refusal and false if the request must
// not be sent.
func (n *Node) Admit(ctx context.Context, content uint64) (wire.Refusal, bool) {
	switch v := n.verdict(content).(type) {
	case Refused:
		n.refused.Inc()
		return newRefusal(v.RetryAfter), false
	case ProbeDue:
		if !n.claimProbe(ctx, content, v.Number) {
			n.refused.Inc()
			return newRefusal(minRetryAfter), false
		}
	}
	return wire.Refusal{}, true
}

func newRefusal(retryAfter time.Duration) wire.Refusal {
	return wire.Refusal{Reason: wire.ReasonQuarantined, RetryAfterMS: retryAfter.Milliseconds()}
}

func (n *Node) verdict(content uint64) Verdict {
	if n == nil || n.suspects.Load() == 0 {
		return Allowed{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Verdict(n.Now(), content)
}

// claimProbe reports whether this daemon may make a probe.
func (n *Node) claimProbe(ctx context.Context, content uint64, number int) bool {
	if n.Claimer == nil {
		return false
	}
	granted, err := n.Claimer.Claim(ctx, content, number)
	if err != nil {
		n.Log.Info("probe of a request that is quarantined not made", "reason", err.Error(), "content", FormatContent(content))
		n.step(ProbeFailed{Content: content})
		return false
	}
	n.step(ProbeClaimed{Probe: Probe{Content: content, Number: number}, Own: granted})
	if granted {
		n.probes.Inc()
		n.Log.Info("request that is quarantined runs once as a probe", "content", FormatContent(content), "number", number)
	}
	return granted
}

// Release lifts the quarantine of a request in all daemons and reports whether it was quarantined.
func (n *Node) Release(content uint64) bool {
	n.init()
	n.mu.Lock()
	s := n.core.suspects[content]
	known := s != nil && s.isQuarantined(n.Now())
	n.mu.Unlock()
	n.step(Released{Content: content})
	return known
}

// Digest returns a hash of all that is known, 0 for nothing. It is sent with calls, so that daemons
// that were cut off learn what they have missed.
func (n *Node) Digest() uint64 {
	if n == nil {
		return 0
	}
	return n.digest.Load()
}

// Compare starts an exchange with a peer whose digest differs. It does not block.
func (n *Node) Compare(p link.Peer, digest uint64) {
	if n == nil || digest == n.digest.Load() || p.ID == n.Self {
		return
	}
	n.init()
	n.mu.Lock()
	now := n.Now()
	start := !n.comparing && now.Sub(n.comparedAt) >= minCompareDelay && n.compared != [2]uint64{n.core.Digest(), digest}
	if start {
		n.comparing, n.comparedAt = true, now
	}
	n.mu.Unlock()
	if !start {
		return
	}
	err := n.pool.Go(func() {
		ok := n.exchange(p)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.comparing = false
		if ok {
			n.compared = [2]uint64{n.core.Digest(), digest}
		}
	})
	if err != nil {
		n.mu.Lock()
		n.comparing = false
		n.mu.Unlock()
	}
}

// broadcast sends crashes and probes to all peers.
func (n *Node) broadcast(t Broadcast) {
	report := n.newReport(t.Crashes, t.Probes)
	for _, m := range n.peers() {
		_ = n.pool.Go(func() { n.send(link.Peer{ID: m.ID, Addr: m.Addr}, report) })
	}
}

// exchange sends a peer all that is known, adds what the peer knows and reports whether the peer
// answered.
func (n *Node) exchange(p link.Peer) bool {
	n.mu.Lock()
	report := n.newReport(n.core.Crashes(), n.core.Probes())
	report.Digest = max(1, n.core.Digest())
	n.mu.Unlock()
	return n.send(p, report)
}

// send sends a report, adds what the answer says and reports whether there was one.
func (n *Node) send(p link.Peer, report wire.QuarantineReport) bool {
	payload, err := report.MarshalMsg(nil)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	b, err := n.Exchanger.Exchange(ctx, p, link.KindQuarantine, payload)
	if err != nil {
		n.Log.V(1).Info("crashes not told to a peer", "member", p.ID, "reason", err.Error())
		return false
	}
	var answer wire.QuarantineReport
	if _, err := answer.UnmarshalMsg(b); err != nil {
		return false
	}
	n.add(answer)
	return true
}

// ServeMessage answers a message of kind link.KindQuarantine: payload and result are a
// wire.QuarantineReport in msgpack. The error is of kind problem.Protocol if payload is malformed.
func (n *Node) ServeMessage(_ context.Context, _ link.Peer, _ link.MessageKind, payload []byte) ([]byte, error) {
	n.init()
	var report, answer wire.QuarantineReport
	if _, err := report.UnmarshalMsg(payload); err != nil {
		return nil, problem.Wrap(problem.Protocol, err, "quarantine report", "not msgpack", "run the same version on all daemons")
	}
	n.add(report)
	if report.Digest != 0 && report.Digest != n.digest.Load() {
		n.mu.Lock()
		answer = n.newReport(n.core.Crashes(), n.core.Probes())
		n.mu.Unlock()
	}
	return answer.MarshalMsg(nil)
}

// newReport returns a report of crashes and probes.
func (n *Node) newReport(crashes []Crash, probes []Probe) wire.QuarantineReport {
	now := n.Now()
	var out wire.QuarantineReport
	for _, c := range crashes {
		out.Crashes = append(out.Crashes, wire.QuarantineCrash{ID: c.ID, Content: c.Content, Instance: c.Instance, AgeMS: now.Sub(c.Time).Milliseconds(), UsualMS: c.Usual.Milliseconds(), Cleared: c.Cleared})
	}
	for _, p := range probes {
		out.Probes = append(out.Probes, wire.QuarantineProbe{Content: p.Content, Number: p.Number})
	}
	return out
}

// add adds what a report says.
func (n *Node) add(r wire.QuarantineReport) {
	if len(r.Crashes) == 0 && len(r.Probes) == 0 {
		return
	}
	now := n.Now()
	var e Received
	for _, c := range r.Crashes {
		age := time.Duration(min(max(0, c.AgeMS), quarantineTime.Milliseconds())) * time.Millisecond
		e.Crashes = append(e.Crashes, Crash{ID: c.ID, Content: c.Content, Instance: c.Instance, Time: now.Add(-age), Usual: time.Duration(max(0, min(c.UsualMS, maxAnswerWait.Milliseconds()))) * time.Millisecond, Cleared: c.Cleared})
	}
	for _, p := range r.Probes {
		e.Probes = append(e.Probes, Probe{Content: p.Content, Number: p.Number})
	}
	n.step(e)
}
