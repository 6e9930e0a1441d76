package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const slowFactor = 12 // the largest x of srv_slow

// server is a backend server: it runs as many requests at once as it has slots, queues a few more
// and rejects the others as not run.
type server struct {
	m     *machine
	slots int
	queue int

	mu       sync.Mutex
	instance string // empty while it is down
	born     int64
	sequence uint64
	draining bool
	ackedAt  time.Time // of the first acknowledged drain
	waiting  int
	slow     bool
	work     func(r *http.Request) time.Duration
	sem      chan struct{}
	http     *http.Server
	runs     []run
}

// run is a request that the server began to run.
type run struct {
	id, instance, method, uri, service, tenant string
	at, ended                                  time.Time
	work                                       time.Duration // that it takes
	body                                       []byte
	deadline                                   string
	acked                                      time.Time
}

// start starts an incarnation under an instance ID.
func (s *server) start(instance string) error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", s.m.addr("application")); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance, s.born, s.sequence, s.draining, s.ackedAt = instance, time.Now().UnixMilli(), 0, false, time.Time{}
	s.sem = make(chan struct{}, s.slots)
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), IdleTimeout: 10 * time.Second}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http)
	s.m.site.rec.note("server %s started beside %s", instance, s.m.name)
	return nil
}

// end ends the incarnation: its connections are closed and new ones refused.
func (s *server) end() {
	s.mu.Lock()
	h := s.http
	s.instance, s.http = "", nil
	s.mu.Unlock()
	if h != nil {
		_ = h.Close()
	}
}

func (s *server) acknowledged(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ackedAt.IsZero() {
		s.ackedAt = at
	}
}

func (s *server) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
}

func (s *server) load() string {
	return fmt.Sprintf("%d,%d,%d", len(s.sem), s.waiting, s.slots)
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	instance, draining := s.instance, s.draining
	load := s.load()
	s.mu.Unlock()
	h := w.Header()
	h["Date"] = nil
	h.Set("Instance-Id", instance)
	h.Set("Server-Load", load)
	if r.URL.Path == "/health" {
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != instance {
		s.m.site.rec.note("server %s answers 421 to %s", instance, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrived := time.Now()
	s.m.site.rec.note("server %s gets %s %s %s of %q, %s ms left", instance, id, r.Method, r.RequestURI, r.Header.Get("Calling-Service"), r.Header.Get("Deadline-Milliseconds"))
	deadline, _ := strconv.Atoi(r.Header.Get("Deadline-Milliseconds"))
	ctx, cancel := context.WithCancel(r.Context())
	if deadline > 0 {
		ctx, cancel = context.WithDeadline(r.Context(), arrived.Add(time.Duration(deadline)*time.Millisecond))
	}
	defer cancel()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.m.site.rec.note("server %s: body of %s broke off: %v", instance, id, err)
		panic(http.ErrAbortHandler)
	}
	select {
	case s.sem <- struct{}{}:
	default:
		s.mu.Lock()
		full := s.waiting >= s.queue
		if !full {
			s.waiting++
		}
		s.mu.Unlock()
		if full {
			h.Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case s.sem <- struct{}{}:
		case <-ctx.Done():
		}
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		if ctx.Err() != nil {
			h.Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	defer func() { <-s.sem }()
	ru := run{id: id, instance: instance, method: r.Method, uri: r.RequestURI, service: r.Header.Get("Calling-Service"), tenant: r.Header.Get("Tenant"), at: time.Now(), body: body, deadline: r.Header.Get("Deadline-Milliseconds")}
	s.m.site.rec.note("server %s runs %s", instance, id)
	s.mu.Lock()
	ru.acked = s.ackedAt
	work := s.work
	s.mu.Unlock()
	d := 20 * time.Millisecond
	if work != nil {
		d = work(r)
	}
	s.mu.Lock()
	if s.slow {
		d *= slowFactor
	}
	index := len(s.runs)
	ru.work = d
	s.runs = append(s.runs, ru)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.runs[index].ended = time.Now()
		s.mu.Unlock()
	}()
	select {
	case <-time.After(d):
	case <-ctx.Done():
		if r.Context().Err() != nil {
			s.m.site.rec.note("server %s drops %s, whose connection has closed", instance, id)
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	s.m.site.rec.note("server %s answers %s", instance, id)
	b := []byte(fmt.Sprintf("%s by %s", id, instance))
	h.Set("Server-Stamp", "stamp-"+id)
	h.Set("Server-Load", s.load())
	h.Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}

func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

func (s *server) name() string { s.mu.Lock(); defer s.mu.Unlock(); return s.instance }

func (s *server) bornAt() int64 { s.mu.Lock(); defer s.mu.Unlock(); return s.born }

func (s *server) setSlow(v bool) { s.mu.Lock(); defer s.mu.Unlock(); s.slow = v }

// workOfPath returns the work that the last segment of a path states in milliseconds.
func workOfPath(r *http.Request) time.Duration {
	p := r.URL.Path
	n, _ := strconv.Atoi(p[strings.LastIndexByte(p, '/')+1:])
	return time.Duration(n) * time.Millisecond
}
