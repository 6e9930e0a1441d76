package agent_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/yuccaport/yuccaport/src/agent"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/rollout"
	"github.com/yuccaport/yuccaport/src/standin"
)

const (
	statusKey = "status/bookings"
	orderKey  = "mesh/order/bookings"
	planKey   = "mesh/plan/bookings"
)

var rolloutFormat = &agent.RolloutFormat{
	StatusPrefix: "status/",
	DecodeOrder: func(service string, value []byte) (rollout.Order, error) {
		o := rollout.Order{Service: service}
		var ms int
		if _, err := fmt.Sscan(string(value), &o.TargetVersion, &ms); err != nil {
			return o, err
		}
		o.Duration = time.Duration(ms) * time.Millisecond
		return o, nil
	},
	EncodeStatus: func(state, version string) []byte { return []byte(state + " " + version) },
}

// rolloutFleet is a service with servers of two versions.
type rolloutFleet struct {
	c           *qt.C
	store       *standin.RegistryStore
	olds, news  []*vm
	views       []*standin.RegistryStore
	mu          sync.Mutex
	statuses    []string // each status of the store that differs from the one before
	logs        []string
	stopLoad    context.CancelFunc
	requests    atomic.Int64
	failedCalls atomic.Int64 // requests without an answer of a server
}

// startRolloutFleet starts servers of versions v1 and v2, with callers at every agent.
func startRolloutFleet(c *qt.C, serversByVersion int) *rolloutFleet {
	f := &rolloutFleet{c: c, store: standin.NewRegistryStore()}
	f.store.Put(testKeys.Config, []byte("1 /a/ repeats"))
	for i := range serversByVersion {
		f.olds = append(f.olds, f.startServer(fmt.Sprint("old-", i), "v1"))
	}
	for i := range serversByVersion {
		f.news = append(f.news, f.startServer(fmt.Sprint("new-", i), "v2"))
	}
	for _, v := range f.vms() {
		eventually(c, "the agent is announced", func() bool { return f.store.Has("mesh/member/" + v.LinkListener.Addr().String()) })
		eventually(c, "the call is served", v.servedFunc("/a/"))
	}
	var ctx context.Context
	ctx, f.stopLoad = context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, v := range f.vms() {
		wg.Go(func() {
			for ctx.Err() == nil {
				f.requests.Add(1)
				if status, _, err := v.call("/a/"); err != nil || status == 503 {
					f.failedCalls.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			f.recordStatus()
			time.Sleep(5 * time.Millisecond)
		}
	})
	c.Cleanup(func() {
		f.stopLoad()
		wg.Wait()
		for _, v := range f.vms() {
			v.cancel() // all at once, since each stop takes seconds
		}
	})
	return f
}

func (f *rolloutFleet) vms() []*vm { return slices.Concat(f.olds, f.news) }

func (f *rolloutFleet) startServer(instance, version string) *vm {
	b := startBackend(f.c, instance)
	b.serviceTime.Store(int64(10 * time.Millisecond))
	view := f.store.View()
	f.views = append(f.views, view)
	v := startVM(f.c, view, instance, b, func(a *agent.Agent) {
		a.Keys.RolloutPrefix, a.Keys.PlanPrefix, a.Rollouts = "mesh/order/", "mesh/plan/", rolloutFormat
		a.Log = logr.New(funcr.New(func(prefix, args string) {
			if strings.Contains(args, `"msg"="rollout `) {
				f.mu.Lock()
				f.logs = append(f.logs, instance+" "+args)
				f.mu.Unlock()
			}
		}, funcr.Options{}).GetSink())
	})
	_, err := v.HandleHeartbeat(context.Background(), registry.Heartbeat{
		Instance: instance, Addr: b.addr, Service: "bookings", Domain: "mid-a", Version: version, Slots: 4, Sequence: 1, StartedAt: time.UnixMilli(1000),
	})
	f.c.Assert(err, qt.IsNil)
	return v
}

// status returns the status in the store, empty if there is none.
func (f *rolloutFleet) status() string {
	items, _, err := f.store.List(context.Background(), statusKey)
	if err != nil || len(items) == 0 {
		return ""
	}
	return string(items[0].Value)
}

func (f *rolloutFleet) recordStatus() {
	s := f.status()
	f.mu.Lock()
	defer f.mu.Unlock()
	if s != "" && (len(f.statuses) == 0 || f.statuses[len(f.statuses)-1] != s) {
		f.statuses = append(f.statuses, s)
	}
}

func (f *rolloutFleet) history() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.statuses)
}

// order writes an order for v2.
func (f *rolloutFleet) order(d time.Duration) {
	f.store.Put(orderKey, fmt.Appendf(nil, "v2 %d", d.Milliseconds()))
}

func (f *rolloutFleet) awaitStatus(want string, limit time.Duration) {
	f.c.Helper()
	for end := time.Now().Add(limit); f.status() != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.c.Fatalf("status is %q, want %q after %v; log:\n%s", f.status(), want, limit, strings.Join(f.logs, "\n"))
		}
	}
}

func calls(vms []*vm) int64 {
	n := int64(0)
	for _, v := range vms {
		n += v.backend.calls.Load()
	}
	return n
}

// A good version is completed before its deadline, and once that is written no request reaches the
// old servers, which are stopped at that moment. Fails if senders or gates do not follow the record.
func TestRolloutCompleted(t *testing.T) {
	c := qt.New(t)
	f := startRolloutFleet(c, 3)
	const duration = 8 * time.Second
	orderedAt := time.Now()
	f.order(duration)
	f.awaitStatus("running v2", time.Second)
	f.awaitStatus("completed v2", duration)
	atVerdict := calls(f.olds)
	c.Logf("completed after %v, %d requests, %d without an answer", time.Since(orderedAt), f.requests.Load(), f.failedCalls.Load())
	time.Sleep(time.Second)
	c.Check(calls(f.olds), qt.Equals, atVerdict)
	c.Check(f.history(), qt.DeepEquals, []string{"running v2", "completed v2"})
	c.Check(float64(f.failedCalls.Load()) < 0.01*float64(f.requests.Load()), qt.IsTrue, qt.Commentf("%d of %d requests not answered", f.failedCalls.Load(), f.requests.Load()))
}

// A bad version is stopped before it has had its bound of the requests, and rolled back. Fails if the
// outcome of runs, reports or stops do not reach the coordinators or gates.
func TestRolloutRolledBack(t *testing.T) {
	c := qt.New(t)
	f := startRolloutFleet(c, 3)
	for _, v := range f.news {
		v.backend.failShare.Store(40)
	}
	before, requestsBefore := calls(f.news), f.requests.Load()
	f.order(8 * time.Second)
	f.awaitStatus("rolled_back v2", 8*time.Second)
	exposed, requests := calls(f.news)-before, f.requests.Load()-requestsBefore
	c.Logf("%d of %d requests", exposed, requests)
	c.Check(float64(exposed) <= 0.1*float64(requests)+50, qt.IsTrue)
	atVerdict := calls(f.news)
	time.Sleep(time.Second)
	c.Check(calls(f.news), qt.Equals, atVerdict)
	c.Check(f.history(), qt.DeepEquals, []string{"running v2", "rolled_back v2"})
}

// While the store is down, a version that has become bad is stopped by links within seconds, and the
// verdict is written once the store is back. Fails if a stop needs the store.
func TestRolloutStopWithoutStore(t *testing.T) {
	c := qt.New(t)
	f := startRolloutFleet(c, 3)
	f.order(20 * time.Second)
	f.awaitStatus("running v2", time.Second)
	before := calls(f.news)
	eventually(c, "the new version gets requests", func() bool { return calls(f.news) > before+20 })
	for _, view := range f.views {
		view.Set(func() { view.Fail = problem.New(problem.Unavailable, "store", "down", "") })
	}
	for _, v := range f.news {
		v.backend.failShare.Store(50)
	}
	for _, v := range f.vms() { // each by its own word, since outlier ejection alone also keeps requests away for a time
		eventually(c, "all agents know of the stop", func() bool {
			var b bytes.Buffer
			v.Metrics.WritePrometheus(&b)
			return strings.Contains(b.String(), `yuccaport_rollout_stopped{service="bookings"} 1`)
		})
	}
	atStop := calls(f.news)
	time.Sleep(time.Second)
	c.Check(calls(f.news)-atStop <= int64(len(f.news)), qt.IsTrue, qt.Commentf("no more than was under way"))
	c.Check(f.status(), qt.Equals, "running v2")
	for _, view := range f.views {
		view.Set(func() { view.Fail = nil })
	}
	f.awaitStatus("rolled_back v2", 5*time.Second)
}

// A store that comes back from a copy older than the verdict holds the verdict again soon after, and
// the order does not start again, also by the word of an agent that starts then. Fails if agents take
// the restored record for the newer one.
func TestRolloutStoreFromOlderCopy(t *testing.T) {
	c := qt.New(t)
	f := startRolloutFleet(c, 3)
	for _, v := range f.news {
		v.backend.failShare.Store(40)
	}
	f.order(8 * time.Second)
	f.awaitStatus("running v2", time.Second)
	older := f.store.Copy()
	f.awaitStatus("rolled_back v2", 8*time.Second)
	time.Sleep(time.Second) // until all agents have seen it
	atVerdict := calls(f.news)
	f.store.Restore(older)
	c.Check(f.status(), qt.Equals, "running v2")
	late := f.startServer("new-late", "v2")
	f.news = append(f.news, late)
	f.awaitStatus("rolled_back v2", 5*time.Second)
	time.Sleep(2 * time.Second)
	c.Check(f.status(), qt.Equals, "rolled_back v2")
	c.Check(calls(f.news), qt.Equals, atVerdict)
}
