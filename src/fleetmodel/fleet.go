package fleetmodel

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/yuccaport/yuccaport/src/booking"
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/quarantine"
)

const (
	domains        = 3               // failure domains, unless Fleet.Domains is set
	maxRetryWait   = 1.0 / 3         // share of the time until its deadline after which a refused caller comes back, whatever it was told
	deadlineSpread = 0.15            // largest shortening of a caller's deadline, as a share of its route's
	workSpread     = 0.3             // largest deviation of a run's work from the mean, as a share of it
	queueLimit     = 256             // calls
	queueWait      = 5 * time.Second // longest wait for a slot
	maxAttempts    = 2               // of a call that may have run
)

// Fleet is a set of agents with their backend servers and the load on them. Its exported fields are set before Run, which must be called once.
type Fleet struct {
	Services []Service
	Routes   []Route
	Delay    time.Duration // one way between two agents, with their processing
	Domains  int           // failure domains, over which the agents are spread, 0 for 3

	DomainDelay  time.Duration  // one way between two failure domains, in addition
	DomainDemand []float64      // weight of each failure domain in the arrivals, empty for equal ones
	PreferDomain bool           // see dispatch.Settings
	Policy       booking.Policy // of admission, see booking.Core
	Baseline     Baseline       // selection for comparison, empty for that of dispatch

	Length time.Duration // during which requests arrive
	Settle time.Duration // results of requests that arrive before it are not counted
	Seed   uint64

	clock       clock
	rand        *rand.Rand
	agents      []*agent
	routes      map[string]*route
	lastCall    uint64
	lastContent uint64
	claims      map[uint64]int // probes claimed, by content
	start       time.Time
}

// Run plays the load and returns the results by route.
func (f *Fleet) Run() map[string]Result {
	f.init()
	for _, r := range f.Routes {
		if r.Rate > 0 {
			f.scheduleArrival(f.routes[r.Name])
		}
	}
	f.clock.run()
	out := map[string]Result{}
	for name, r := range f.routes {
		out[name] = r.result
	}
	return out
}

func (f *Fleet) init() {
	f.rand = rand.New(rand.NewPCG(f.Seed, 0))
	f.start = time.Unix(0, 0).UTC()
	f.clock.now = f.start
	f.routes = map[string]*route{}
	f.claims = map[uint64]int{}
	for _, r := range f.Routes {
		f.routes[r.Name] = &route{Route: r, policy: &dispatch.Policy{
			Service: "fleet", Route: r.Name, Targets: []dispatch.Target{{Service: r.Service, Weight: 1}}, Idempotent: true, Attempts: maxAttempts, Timeout: r.Deadline,
		}}
	}
	table := dispatch.TableChanged{Version: 1, Region: "region"}
	for _, s := range f.Services {
		for i := range s.Servers {
			id := uint64(len(f.agents) + 1)
			speed := 1.0
			if len(s.Speeds) > 0 {
				speed = s.Speeds[i%len(s.Speeds)]
			}
			m := dispatch.Member{ID: id, Service: s.Name, Domain: fmt.Sprint("domain-", int(id)%f.domainCount()), Region: "region", Slots: s.Slots, Ready: true, Age: time.Hour}
			table.Members = append(table.Members, m)
			a := &agent{fleet: f, member: m, speed: speed, downtime: s.Downtime, quarantine: &quarantine.Core{}, calls: map[uint64]*request{}, inbound: map[uint64]*inbound{}}
			a.noise = s.Noise
			a.noisy = s.Noise.Share > 0 && int(float64(i+1)*s.Noise.Share) > int(float64(i)*s.Noise.Share)
			if len(s.Limits) > 0 {
				a.limit = s.Limits[i%len(s.Limits)]
			}
			a.dispatch = &dispatch.Core{Settings: dispatch.Settings{SharedRetryBurst: 1000, PreferDomain: f.PreferDomain}.WithDefaults(), Rand: rand.New(rand.NewPCG(f.Seed, id))}
			a.booking = &booking.Core{Slots: s.Slots, QueueLimit: queueLimit, QueueWait: queueWait, FixedLimit: true, Policy: f.Policy}
			a.booking.Step(f.start, booking.Health{State: booking.HealthUp})
			f.agents = append(f.agents, a)
		}
	}
	for _, a := range f.agents {
		t := table
		t.Self, t.Domain = a.member.ID, a.member.Domain
		a.dispatch.Step(f.start, t)
	}
}

// scheduleArrival schedules the next request of a route, at a random agent after an exponentially distributed time.
func (f *Fleet) scheduleArrival(r *route) {
	d := time.Duration(f.rand.ExpFloat64() / r.Rate * float64(time.Second))
	if f.clock.now.Add(d).Sub(f.start) > f.Length {
		return
	}
	f.clock.after(d, func() {
		f.scheduleArrival(r)
		now := f.clock.now
		q := &request{route: r, content: f.content(r), counted: now.Sub(f.start) >= f.Settle, started: now, deadline: now.Add(f.deadline(r)), objective: now.Add(r.Objective)}
		if q.counted {
			r.result.Asked++
		}
		f.arrivalAgent().send(q, nil)
	})
}

// content returns the content of a new request.
func (f *Fleet) content(r *route) uint64 {
	f.lastContent++
	if r.Contents == 0 {
		return f.lastContent
	}
	return xxh3.HashString(r.Name) | 1<<63 + uint64(f.rand.IntN(r.Contents))
}

func (f *Fleet) agent(id uint64) *agent { return f.agents[id-1] }

// deadline returns the time that a caller of a route waits.
func (f *Fleet) deadline(r *route) time.Duration {
	return time.Duration(float64(r.Deadline) * (1 - deadlineSpread*f.rand.Float64()))
}

// work returns the time that one run of a route takes at a server without noise.
func (f *Fleet) work(r *route, speed float64) time.Duration {
	return time.Duration(float64(r.Work) * (1 + workSpread*(2*f.rand.Float64()-1)) / speed)
}
