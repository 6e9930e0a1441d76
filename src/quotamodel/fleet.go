package quotamodel

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/yuccaport/yuccaport/src/tenants"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	frameBytes     = 16 // of the link, with each report and each answer
	nearDelay      = 200 * time.Microsecond
	farDelay       = time.Millisecond
	maxNotRunDelay = 200 * time.Millisecond // until a request is known not to run
	entryLifetime  = 3 * time.Second        // after which a member that is gone leaves the lists
)

// Fleet is a number of agents with their tenants. Its exported fields are set before Build.
type Fleet struct {
	Agents, Domains int
	Quota           tenants.Quota
	MaxWait         time.Duration // of a request for credit
	Limits          map[string]tenants.Limit
	Seed            uint64
	NotRun          float64              // share of the admitted requests that turn out not to run
	Delay           func() time.Duration // in addition to the delay of the link, nil for none

	// Counted since Build or ResetCounts.
	Messages, Bytes, FarBytes int
	Served                    map[int]int // reports by position of the granter
	Tallies                   map[string]*Tally

	rand    *rand.Rand
	now     time.Time
	seq     int
	events  eventHeap
	agents  []*agent
	side    []int // of the partition, by position
	version uint64
	lastID  uint64
}

// Build starts all agents.
func (f *Fleet) Build() {
	f.rand = rand.New(rand.NewPCG(f.Seed, 1))
	f.now = time.Unix(1e6, 0)
	f.agents, f.side = make([]*agent, f.Agents), make([]int, f.Agents)
	f.Tallies = map[string]*Tally{}
	for name := range f.Limits {
		f.Tallies[name] = &Tally{}
	}
	f.version = 1
	f.ResetCounts()
	for i := range f.agents {
		f.start(i)
	}
	f.UpdateMembers()
}

// ResetCounts sets the counts of messages to zero.
func (f *Fleet) ResetCounts() {
	f.Messages, f.Bytes, f.FarBytes, f.Served = 0, 0, 0, map[int]int{}
}

// Now returns the simulated time.
func (f *Fleet) Now() time.Time { return f.now }

// At schedules a function after a delay.
func (f *Fleet) At(d time.Duration, run func()) { f.at(f.now.Add(d), run) }

func (f *Fleet) at(at time.Time, run func()) {
	f.seq++
	heap.Push(&f.events, event{at: at, seq: f.seq, run: run})
}

// Run advances the clock.
func (f *Fleet) Run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// start starts a new process at a position.
func (f *Fleet) start(position int) {
	f.lastID = f.rand.Uint64() | 1
	a := &agent{fleet: f, position: position, member: wire.Member{ID: f.lastID, LinkMbps: 50}}
	a.core = &tenants.Core{Quota: f.Quota, Self: a.member.ID, NewSession: func() uint32 { return f.rand.Uint32() | 1 }}
	a.core.Configure(f.version, f.Limits)
	f.agents[position] = a
	a.schedule(time.Duration(f.rand.Int64N(int64(400 * time.Millisecond))))
}

// UpdateMembers gives the agents on side 0, where the store is, the members that are alive there.
// The others keep the lists that they have.
func (f *Fleet) UpdateMembers() {
	var members []wire.Member
	for _, a := range f.agents {
		if !a.isDead && f.side[a.position] == 0 {
			members = append(members, a.member)
		}
	}
	for _, a := range f.agents {
		if f.side[a.position] == 0 {
			a.members = members
		}
	}
}

// Kill ends the process at a position; the others learn it after entryLifetime.
func (f *Fleet) Kill(position int) {
	f.agents[position].isDead = true
	f.At(entryLifetime, f.UpdateMembers)
}

// Restart replaces the process at a position; the others learn it after a moment.
func (f *Fleet) Restart(position int) {
	if 2*len(f.agents[position].members) <= f.Agents {
		return // a new process whose list holds a minority can't know of the others
	}
	f.agents[position].isDead = true
	old := f.agents[position].members
	f.start(position)
	f.agents[position].members = old
	f.At(300*time.Millisecond, f.UpdateMembers)
}

// Freeze stops the process at a position for a time.
func (f *Fleet) Freeze(position int, d time.Duration) {
	f.agents[position].frozenUntil = f.now.Add(d)
}

// Partition puts the agents on sides that cannot reach each other. If the lists of members follow,
// those of side 0 do after entryLifetime.
func (f *Fleet) Partition(side func(position int) int, listsFollow bool) {
	for i := range f.side {
		f.side[i] = side(i)
	}
	if listsFollow {
		f.At(entryLifetime, f.UpdateMembers)
	}
}

// Heal ends a partition; the lists of members follow after a moment.
func (f *Fleet) Heal() {
	f.Partition(func(int) int { return 0 }, false)
	f.At(300*time.Millisecond, f.UpdateMembers)
}

// SetLimits puts a new configuration version in force, at each agent after a delay of up to spread.
func (f *Fleet) SetLimits(limits map[string]tenants.Limit, spread time.Duration) {
	f.version++
	version := f.version
	f.Limits = limits
	for i := range f.agents {
		f.At(time.Duration(f.rand.Int64N(int64(spread)+1)), func() {
			a := f.agents[i]
			a.do(func() { a.core.Configure(version, limits) })
		})
	}
}

// Request lets a request of a tenant arrive at a position now.
func (f *Fleet) Request(position int, tenant string) {
	a := f.agents[position]
	if a.isDead || f.now.Before(a.frozenUntil) {
		return
	}
	f.Tallies[tenant].Asked++
	a.take(&request{tenant: tenant, arrived: f.now})
}

func (f *Fleet) decide(a *agent, r *request, admitted bool, _ time.Duration) {
	t := f.Tallies[r.tenant]
	switch {
	case !admitted:
		t.Refused++
		t.RefusedAt = append(t.RefusedAt, f.now)
	case f.rand.Float64() < f.NotRun:
		f.At(time.Duration(f.rand.Int64N(int64(maxNotRunDelay))), func() { a.do(func() { a.core.GiveBack(f.now, r.tenant) }) })
	default:
		t.Ran = append(t.Ran, f.now)
	}
}

// Load lets requests of a tenant arrive at random, at a rate that may change, until a duration has
// passed. Position returns where the next one arrives.
func (f *Fleet) Load(tenant string, rate func() float64, position func(*rand.Rand) int, d time.Duration) {
	end := f.now.Add(d)
	var next func()
	next = func() {
		gap := time.Duration(f.rand.ExpFloat64() / max(rate(), 0.01) * float64(time.Second))
		if f.now.Add(gap).After(end) {
			return
		}
		f.At(gap, func() {
			f.Request(position(f.rand), tenant)
			next()
		})
	}
	next()
}

// send carries a report to a member and the answer back.
func (f *Fleet) send(from *agent, s tenants.Send) {
	sentAt := f.now
	isDone := false
	f.At(from.core.Interval(), func() {
		if !isDone {
			isDone = true
			from.finish(tenants.Failed(s))
		}
	})
	to := f.byID(s.To.ID)
	if to == nil || f.side[to.position] != f.side[from.position] {
		return
	}
	f.count(from, to, &s.Report)
	f.Served[to.position]++
	f.At(f.delay(from, to), func() {
		to.do(func() {
			if f.side[to.position] != f.side[from.position] {
				return
			}
			grants := to.core.Receive(f.now, from.member.ID, &s.Report)
			f.count(to, from, &grants)
			f.At(f.delay(to, from), func() {
				if !isDone && f.side[to.position] == f.side[from.position] {
					isDone = true
					from.finish(tenants.Answered{To: s.To, SentAt: sentAt, Report: s.Report, Grants: grants})
				}
			})
		})
	})
}

func (f *Fleet) byID(id uint64) *agent {
	for _, a := range f.agents {
		if a.member.ID == id {
			return a
		}
	}
	return nil
}

func (f *Fleet) count(from, to *agent, m interface {
	MarshalMsg([]byte) ([]byte, error)
}) {
	b, err := m.MarshalMsg(nil)
	if err != nil {
		panic(err) // the types are generated
	}
	n := len(b) + frameBytes
	f.Messages++
	f.Bytes += n
	if from.position%f.Domains != to.position%f.Domains {
		f.FarBytes += n
	}
}

func (f *Fleet) delay(a, b *agent) time.Duration {
	d := farDelay
	if a.position%f.Domains == b.position%f.Domains {
		d = nearDelay
	}
	if f.Delay != nil {
		d += f.Delay()
	}
	return d
}

// Granter returns the position that has served the most reports in the last 450 ms.
func (f *Fleet) Granter() int {
	served := f.Served
	f.Served = map[int]int{}
	f.Run(450 * time.Millisecond)
	best := 0
	for position, n := range f.Served {
		if n > f.Served[best] {
			best = position
		}
	}
	for position, n := range served {
		f.Served[position] += n
	}
	return best
}
