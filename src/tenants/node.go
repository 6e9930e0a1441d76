package tenants

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/clock"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
	"github.com/yuccaport/yuccaport/src/workers"
)

const maxSends = 4 // reports in flight: one to the granter, one to a member that may become it

// Node holds an agent's Core, admits its callers' requests and exchanges reports with the granter.
//
// Its exported fields are set before the first use; Self, Members and Exchanger are required. A nil
// Node admits every request. Its methods may be called concurrently; Run must be called at most once.
type Node struct {
	Self      uint64               // member ID of this agent
	Members   func() []wire.Member // all agents, this one included or not
	Exchanger link.Exchanger
	Quota     Quota
	Log       logr.Logger
	Metrics   *metrics.Set     // nil for a new set
	Now       func() time.Time // of a clock that counts suspension, nil for that of the VM

	once sync.Once
	pool workers.Pool
	wake chan struct{}

	mu       sync.Mutex
	core     Core
	hasLimit bool          // any tenant has a limit
	hasLeft  bool          // Leave was called; nothing is admitted any more
	progress chan struct{} // closed and replaced when credit may have come
	counts   tenantCounts
}

// bootTime returns the time on the VM's clock that counts suspension.
func bootTime() time.Time { return time.Unix(0, 0).Add(clock.SinceBoot()) }

func (n *Node) init() {
	n.once.Do(func() {
		if n.Now == nil {
			n.Now = bootTime
		}
		if n.Metrics == nil {
			n.Metrics = metrics.NewSet()
		}
		if n.Log.GetSink() == nil {
			n.Log = logr.Discard()
		}
		n.pool.Max = maxSends
		n.wake, n.progress = make(chan struct{}, 1), make(chan struct{})
		n.core = Core{Quota: n.Quota, Self: n.Self, NewSession: func() uint32 { return max(1, rand.Uint32()) }}
		n.counts.init(n.Metrics)
		n.Metrics.GetOrCreateGauge("yuccaport_tenant_quota_followers", func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return float64(n.core.allocator.Delegating())
		})
		n.Metrics.GetOrCreateGauge("yuccaport_tenant_worst_tenth_admitted_ratio", func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.counts.worstTenth()
		})
	})
}

// Configure sets the limits by tenant of a configuration version; an older version than the current
// one is ignored.
func (n *Node) Configure(version uint64, limits map[string]Limit) {
	n.init()
	n.mu.Lock()
	n.core.Configure(version, limits)
	n.hasLimit = false
	for _, l := range limits {
		n.hasLimit = n.hasLimit || l.RatePerSecond > 0
	}
	n.counts.configure(limits)
	n.mu.Unlock()
	n.wakeUp()
}

// Take takes the credit of one request of a tenant. It may wait up to maxWait for an answer of the
// granter. If it returns false, the tenant is at its limit and will have credit after retryAfter.
// The time is read from Now, since the clock of the caller does not count suspension.
func (n *Node) Take(ctx context.Context, _ time.Time, tenant string, maxWait time.Duration) (retryAfter time.Duration, ok bool) {
	if n == nil {
		return 0, true
	}
	n.init()
	now := n.Now()
	n.mu.Lock()
	if n.hasLeft {
		n.mu.Unlock()
		return minReportInterval, false
	}
	v, retryAfter := n.core.Take(now, tenant, false)
	if v == Pending {
		return n.wait(ctx, tenant, maxWait)
	}
	n.finishTake(tenant, v != Limited)
	n.mu.Unlock()
	if v == AdmittedLow {
		n.wakeUp()
	}
	return retryAfter, v != Limited
}

// wait waits for credit; n.mu must be held and is released.
func (n *Node) wait(ctx context.Context, tenant string, maxWait time.Duration) (time.Duration, bool) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	n.core.Wait(tenant, 1)
	for isOver := maxWait <= 0; ; {
		progress := n.progress
		n.mu.Unlock()
		n.wakeUp()
		if !isOver {
			select {
			case <-progress:
			case <-timer.C:
				isOver = true
			case <-ctx.Done():
				isOver = true
			}
		}
		now := n.Now()
		n.mu.Lock()
		v, retryAfter := n.core.Take(now, tenant, true)
		if v == Pending && !isOver {
			continue
		}
		if v == Pending {
			v, retryAfter = Limited, n.core.Refuse(now, tenant)
		}
		n.core.Wait(tenant, -1)
		n.finishTake(tenant, v != Limited)
		n.mu.Unlock()
		return retryAfter, v != Limited
	}
}

// finishTake counts a decision and logs when a tenant begins to be limited; n.mu must be held.
func (n *Node) finishTake(tenant string, admitted bool) {
	n.counts.add(tenant, admitted)
	if !admitted && n.core.share.Begins(tenant) {
		n.Log.Info("tenant is limited", "tenant", tenant, "reason", "its requests at all agents exceed rate and burst")
	}
}

// GiveBack returns the credit of a request that has not run.
func (n *Node) GiveBack(_ time.Time, tenant string) {
	if n == nil {
		return
	}
	n.init()
	now := n.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.GiveBack(now, tenant)
}

// Run exchanges reports with the granter until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	defer n.pool.StopAndWait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-n.wake:
		}
		timer.Reset(n.step(ctx))
	}
}

// Leave tells the granter that this agent stops for good, so that its part of the limits falls to
// the others at once. No request is admitted afterwards. It is called before the links are closed.
func (n *Node) Leave(ctx context.Context) {
	n.init()
	now := n.Now()
	n.mu.Lock()
	s, ok := Send{}, false
	if n.hasLimit && !n.hasLeft {
		s, ok = n.core.Leave(now)
	}
	n.hasLeft = true
	n.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, minReportInterval)
	defer cancel()
	if _, err := n.exchange(ctx, s); err != nil {
		n.Log.Info("granter not told of the stop", "member", s.To.ID, "reason", err.Error())
	}
}

// step sends what is due and returns the time until the next call.
func (n *Node) step(ctx context.Context) time.Duration {
	members := n.Members()
	now := n.Now()
	n.mu.Lock()
	if n.hasLeft || !n.hasLimit || len(members) == 0 {
		n.mu.Unlock()
		return minReportInterval
	}
	followed := n.core.share.Follows(now)
	actions := n.core.Step(now, Due{Members: members})
	if n.core.share.Follows(now) != followed || followed == n.Self {
		n.signalProgress()
	}
	interval := n.core.Interval()
	delay := n.core.Delay(now)
	for name, refused := range n.core.share.Unlimited(now) {
		n.Log.Info("tenant is no longer limited", "tenant", name, "refused", refused)
	}
	n.counts.decay(now)
	n.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			if err := n.pool.Go(func() { n.send(ctx, a, interval) }); err != nil {
				n.finish(Failed(a))
			}
		}
	}
	return delay
}

// send sends a report and passes the result to the core.
func (n *Node) send(ctx context.Context, a Send, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := n.Now()
	grants, err := n.exchange(ctx, a)
	if err != nil {
		n.Log.V(1).Info("quota report not answered", "member", a.To.ID, "reason", err.Error())
		n.finish(Failed(a))
		return
	}
	n.finish(Answered{To: a.To, SentAt: sentAt, Report: a.Report, Grants: grants})
}

func (n *Node) exchange(ctx context.Context, a Send) (wire.TenantGrants, error) {
	var grants wire.TenantGrants
	payload, err := a.Report.MarshalMsg(nil)
	if err != nil {
		return grants, err
	}
	b, err := n.Exchanger.Exchange(ctx, link.Peer{ID: a.To.ID, Addr: a.To.Addr}, link.KindTenant, payload)
	if err != nil {
		return grants, err
	}
	_, err = grants.UnmarshalMsg(b)
	return grants, err
}

// finish passes the result of a report to the core.
func (n *Node) finish(e Event) {
	now := n.Now()
	n.mu.Lock()
	n.core.Step(now, e)
	n.signalProgress()
	n.mu.Unlock()
	n.wakeUp()
}

// signalProgress wakes the requests that wait for credit; n.mu must be held.
func (n *Node) signalProgress() {
	close(n.progress)
	n.progress = make(chan struct{})
}

func (n *Node) wakeUp() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// ServeMessage answers a message of kind link.KindTenant: payload is a wire.TenantReport, the result
// a wire.TenantGrants, both in msgpack. The error is of kind problem.Protocol if payload is malformed.
func (n *Node) ServeMessage(_ context.Context, from link.Peer, _ link.MessageKind, payload []byte) ([]byte, error) {
	n.init()
	var report wire.TenantReport
	if _, err := report.UnmarshalMsg(payload); err != nil {
		return nil, problem.Wrap(problem.Protocol, err, "quota report", "not msgpack", "run the same version on all agents")
	}
	now := n.Now()
	n.mu.Lock()
	grants := n.core.Receive(now, from.ID, &report)
	n.mu.Unlock()
	return grants.MarshalMsg(nil)
}
