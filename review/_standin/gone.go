package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/yuccaport/yuccaport/platform/message"
)

// The figures of the case GONE: the route buscar-archivo on the sheet of tributa-mesh-grown, and the
// share of clients that leave like its disruption give_up.
const (
	goneClients = 80
	goneRounds  = 25
	gonePause   = 500 * time.Millisecond // of a client between two rounds
	// 24 of the 80 clients leave: the share 0.3.
	gonePipelining = 18                     // of those that pipeline
	gonePlain      = 6                      // of the others
	goneLeave      = 300 * time.Millisecond // after the first request was sent
	goneFurther    = 100 * time.Millisecond // until a client that pipelines sends a further request
	goneTime       = 500 * time.Millisecond // of the rule
	goneFew        = 5                      // requests that may reach a server later
	goneMaxShare   = 0.25                   // of the requests that may still be worked on

	archiveWork   = 410 * time.Millisecond // mean
	archiveSpread = 0.5
	archiveTail   = 0.03 // of the requests take archiveTailX times as long
	archiveTailX  = 7.0
	archiveMax    = 4300 * time.Millisecond
	archiveSlots  = 9
)

// archiveDuration returns the work of a request.
func archiveDuration(r *rand.Rand) time.Duration {
	d := archiveWork.Seconds() * math.Exp(archiveSpread*r.NormFloat64()-archiveSpread*archiveSpread/2)
	if r.Float64() < archiveTail {
		d *= archiveTailX
	}
	return min(archiveMax, time.Duration(d*float64(time.Second)))
}

func init() { cases["gone"] = goneCase }

// goneRequest is a request whose client has left.
type goneRequest struct {
	id        string
	pipelined bool // the client had sent a further request behind the first one
	closedAt  time.Time
}

// goneCase lets a share of the clients leave before their answers. Every second client sends a
// further safe request before the first has been answered.
func goneCase(s *site, trouble bool) (bool, error) {
	for i := range 8 {
		service := "svc-archivo"
		if i < 2 {
			service = "svc-estado"
		}
		m, err := s.add(service, fmt.Sprint("z", i%2), archiveSlots, 48)
		if err != nil {
			return false, err
		}
		m.server.work = workOfPath
	}
	s.putConfig(1, []message.Route{
		route("buscar-archivo", "h.example", "/buscar/", "safe", "svc-archivo", 2500*time.Millisecond, 1500*time.Millisecond),
	}, nil, "svc-estado", "svc-archivo")
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	var mu sync.Mutex
	var gone []goneRequest
	var wg sync.WaitGroup
	for k := range goneClients {
		wg.Go(func() {
			m := s.machines[k/2%2]
			r := rand.New(rand.NewPCG(1, uint64(k)))
			for n := range goneRounds {
				pipelines := k%2 == 0
				leaves := trouble && (pipelines && k/2 < gonePipelining || !pipelines && k/2 < gonePlain)
				left := goneClient(m, r, fmt.Sprintf("c%d-%d", k, n), pipelines, leaves)
				mu.Lock()
				gone = append(gone, left...)
				mu.Unlock()
				time.Sleep(gonePause)
			}
		})
	}
	wg.Wait()
	time.Sleep(archiveMax)
	return judgeGone(s, gone), nil
}

// goneClient sends one request, and a further one if it pipelines, over a connection of its own. It
// returns the requests that it has left unanswered.
func goneClient(m *machine, r *rand.Rand, name string, pipelines, leaves bool) []goneRequest {
	cn, err := m.dial()
	if err != nil {
		m.site.rec.note("client %s gets no connection: %v", name, err)
		return nil
	}
	defer cn.close()
	var sent []*call
	send := func() {
		c := &call{id: fmt.Sprintf("%s-%d", name, len(sent)), method: "GET", path: "/buscar/" + millis(archiveDuration(r)), host: "h.example", deadline: 4 * time.Second}
		m.site.rec.note("client sends %s %s to %s", c.id, c.path, m.name)
		_, _ = io.WriteString(cn.nc, c.head())
		sent = append(sent, c)
	}
	began := time.Now()
	send()
	if pipelines {
		time.Sleep(goneFurther)
		send()
	}
	if leaves {
		time.Sleep(time.Until(began.Add(goneLeave)))
		cn.close()
		closedAt := time.Now()
		m.site.rec.note("client %s closes its connection", name)
		var out []goneRequest
		for _, c := range sent {
			out = append(out, goneRequest{c.id, pipelines, closedAt})
		}
		return out
	}
	for _, c := range sent {
		_ = cn.nc.SetReadDeadline(time.Now().Add(c.deadline))
		reusable := cn.read(c)
		m.site.rec.note("client of %s gets %d, error %v", c.id, c.status, c.err)
		if !reusable {
			break
		}
	}
	return nil
}

// judgeGone counts what reached servers, or was still worked on, later than goneTime after the close.
func judgeGone(s *site, gone []goneRequest) bool {
	runs := map[string]run{}
	for _, m := range s.machines {
		for _, r := range m.server.allRuns() {
			runs[r.id] = r
		}
	}
	late, long, working, plainWorking := 0, 0, 0, 0
	for _, g := range gone {
		r, ok := runs[g.id]
		limit := g.closedAt.Add(goneTime)
		switch {
		case !ok:
		case r.at.After(limit):
			late++
			s.rec.note("%s reached %s %s after its client had left", g.id, r.instance, r.at.Sub(g.closedAt))
		case r.at.Before(g.closedAt) && r.at.Add(r.work).After(limit):
			long++
			if r.ended.After(limit) {
				working++
				s.rec.note("%s worked on until %s after its client had left", g.id, r.ended.Sub(g.closedAt))
				if !g.pipelined {
					plainWorking++
				}
			}
		}
	}
	s.rec.note("left unanswered: %d; reached a server late: %d (more than %d break the rule); would have lasted so long: %d, still worked on: %d, of these without a further request: %d (more than a quarter break the rule)",
		len(gone), late, goneFew, long, working, plainWorking)
	return late <= goneFew && float64(working) <= goneMaxShare*float64(long)
}
