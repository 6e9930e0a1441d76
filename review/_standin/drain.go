package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaport/yuccaport/platform/message"
)

// The figures of the case DRAIN: jobrecords as on the sheet of hollins-valet, with the largest burst,
// the largest slowness and one of four servers at a time that is slow and leaves.
const (
	drainTime      = 2 * time.Second // drain_s
	drainMargin    = 50 * time.Millisecond
	historyPerSec  = 22.9
	uploadPerSec   = 16.3
	lookupPerSec   = 89.0                   // 0.7 of the 127 diary-reads call it
	burstFactor    = 1.8                    // x of burst
	burstTime      = 5 * time.Second        // for_s of burst
	slowDelay      = 2 * time.Second        // from the burst to the slowness
	slowTime       = 9 * time.Second        // for_s of srv_slow
	leaveDelay     = 700 * time.Millisecond // from the slowness to the leave
	leaveTime      = 3 * time.Second        // from the acknowledgement to the end of the server: drain_s and a little longer
	drainRoundTime = 17 * time.Second
	drainRounds    = 5
)

func init() { cases["drain"] = drainCase }

// drainCase brings load and, in each round, a burst; one server turns slow and leaves as planned.
// It ends with its last request and starts again as another instance.
func drainCase(s *site, trouble bool) (bool, error) {
	for i := range 6 {
		service := "bookings"
		if i >= 2 {
			service = "jobrecords"
		}
		m, err := s.add(service, fmt.Sprint("mid-", i%2), 12, 48)
		if err != nil {
			return false, err
		}
		m.server.work = workOfPath
	}
	s.putConfig(1, []message.Route{
		route("history-read", "h.example", "/history/", "safe", "jobrecords", 5*time.Second, 2500*time.Millisecond),
		route("photo-upload", "h.example", "/photo/", "upload", "jobrecords", 3*time.Second, 800*time.Millisecond),
		route("price-lookup", "h.example", "/price/", "safe", "jobrecords", 600*time.Millisecond, 200*time.Millisecond),
	}, nil, "bookings", "jobrecords")
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	ctx, cancel := context.WithCancel(s.ctx)
	var bursting atomic.Bool
	var wg sync.WaitGroup
	wg.Go(func() { s.sendDrainLoad(ctx, &bursting) })
	for n := range drainRounds {
		end := time.Now().Add(drainRoundTime)
		s.playDrainRound(s.machines[2+n%4], fmt.Sprint("i-round-", n+1), &bursting, trouble)
		time.Sleep(time.Until(end))
	}
	cancel()
	wg.Wait()
	held := true
	for _, m := range s.machines {
		held = judgeDrain(s, m) && held
	}
	return held, nil
}

// playDrainRound plays a burst, in which the server beside m turns slow and leaves.
func (s *site) playDrainRound(m *machine, next string, bursting *atomic.Bool, trouble bool) {
	s.rec.note("burst")
	bursting.Store(true)
	time.AfterFunc(burstTime, func() { bursting.Store(false) })
	time.Sleep(slowDelay)
	s.rec.note("server beside %s turns slow", m.name)
	m.server.setSlow(true)
	time.AfterFunc(slowTime, func() { m.server.setSlow(false) })
	if !trouble {
		return
	}
	time.Sleep(leaveDelay)
	m.server.drain()
	for !m.heartbeat() {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(leaveTime)
	m.deregister()
	m.server.end()
	if err := m.server.start(next); err != nil {
		s.rec.note("server beside %s does not start: %v", m.name, err)
	}
}

// sendDrainLoad sends the requests of three routes until ctx ends.
func (s *site) sendDrainLoad(ctx context.Context, bursting *atomic.Bool) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, l := range []struct {
		name, method   string
		perSec         float64
		work, deadline time.Duration
		size           int
	}{
		{"history", "GET", historyPerSec, 880 * time.Millisecond, 10 * time.Second, 0},
		{"photo", "POST", uploadPerSec, 260 * time.Millisecond, 3 * time.Second, 20000},
		{"price", "GET", lookupPerSec, 55 * time.Millisecond, 600 * time.Millisecond, 0},
	} {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				work := l.work/2 + rand.N(l.work)
				c := &call{id: fmt.Sprintf("%s-%d", l.name, n), method: l.method, path: "/" + l.name + "/" + millis(work), host: "h.example", deadline: l.deadline}
				if l.size > 0 {
					c.body = make([]byte, l.size)
				}
				wg.Go(func() { s.machines[n%2].do(s.ctx, c) })
				perSec := l.perSec
				if bursting.Load() {
					perSec *= burstFactor
				}
				time.Sleep(time.Duration(rand.ExpFloat64() / perSec * float64(time.Second)))
			}
		})
	}
}

// judgeDrain looks for requests that reached the server of m later than drainTime after its leave
// was acknowledged.
func judgeDrain(s *site, m *machine) bool {
	held := true
	for _, r := range m.server.allRuns() {
		if late := r.at.Sub(r.acked); !r.acked.IsZero() && late > drainTime+drainMargin {
			held = false
			s.rec.note("%s reached %s %s after its leave was acknowledged", r.id, r.instance, late)
		}
	}
	return held
}
