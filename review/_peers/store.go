package main

import (
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key      string
	Value    string // base64
	Revision int64
	Created  int64
	Lease    int64
	Deleted  bool
}

func (i item) message() map[string]any {
	if i.Deleted {
		return map[string]any{"key": i.Key, "revision": i.Revision, "deleted": true}
	}
	return map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store, as PROTOCOL.md describes it. Each agent reaches it at a port
// of its own, so that it can be down for some of them.
type store struct {
	mu         sync.Mutex
	revision   int64
	items      map[string]item
	events     []item
	leases     map[int64]*lease
	changed    chan struct{}
	paused     bool                                          // leases don't run out
	refuse     map[int]bool                                  // ports at which it answers 503
	silent     map[int]bool                                  // ports at which it doesn't answer
	before     func(port int, r *http.Request)               // called before a call is carried out
	dropAnswer func(port int, r *http.Request) bool          // whether the answer of an executed call is lost
	late       func(port int, r *http.Request) time.Duration // the call is executed so much later and not answered
}

func newStore() *store {
	s := &store{revision: 10, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), refuse: map[int]bool{}, silent: map[int]bool{}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// listen serves the store at a port for one agent.
func (s *store) listen(addr string, port int) {
	l, err := net.Listen("tcp", addr)
	must(err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(port, w, r) })}
	go func() { _ = srv.Serve(l) }()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key, value string, lease int64) int64 {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, i)
	return s.revision
}

func (s *store) del(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

// Put writes a key for the operator.
func (s *store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, base64.StdEncoding.EncodeToString(value), 0)
	s.notify()
}

// Get returns the value of a key, nil if there is none.
func (s *store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		return nil
	}
	b, _ := base64.StdEncoding.DecodeString(i.Value)
	return b
}

// Keys returns the keys with a prefix.
func (s *store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

// lapse ends all leases, as an outage of the store may.
func (s *store) lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.del(k)
		}
	}
	s.notify()
}

func (s *store) serve(port int, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	refuse, silent, before, drop, late := s.refuse[port], s.silent[port], s.before, s.dropAnswer, s.late
	s.mu.Unlock()
	switch {
	case silent:
		<-r.Context().Done()
		return
	case refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if before != nil {
		before(port, r)
	}
	if late != nil {
		if d := late(port, r); d > 0 {
			time.Sleep(d)
			s.call(r, body)
			panic(http.ErrAbortHandler)
		}
	}
	time.Sleep(4 * time.Millisecond)
	status, answer := s.call(r, body)
	if drop != nil && drop(port, r) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/msgpack")
	w.WriteHeader(status)
	if answer != nil {
		_, _ = w.Write(encode(answer))
	}
}

func (s *store) call(r *http.Request, body []byte) (int, any) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-range":
		return s.list(q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		return s.watch(r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		i, ok := s.items[q.Get("key")]
		if !ok {
			return 404, nil
		}
		m := i.message()
		m["store_revision"] = s.revision
		return 200, m
	case r.URL.Path == "/kv-txn":
		return s.txn(decode(body))
	case r.URL.Path == "/kv-lease":
		s.mu.Lock()
		defer s.mu.Unlock()
		ttl := max(1000, min(num(decode(body)["ttl_ms"]), 600_000))
		s.revision++
		d := time.Duration(ttl) * time.Millisecond
		s.leases[s.revision] = &lease{d, time.Now().Add(d)}
		return 200, map[string]any{"lease": s.revision, "ttl_ms": ttl}
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		l := s.leases[id]
		if l == nil {
			return 404, nil
		}
		l.expires = time.Now().Add(l.ttl)
		return 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		if s.leases[id] == nil {
			return 404, nil
		}
		s.endLease(id)
		return 200, map[string]any{}
	}
	return 404, nil
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out, truncated := []any{}, false
	for _, k := range keys {
		if len(out) == 500 {
			truncated = true
			break
		}
		out = append(out, s.items[k].message())
	}
	return 200, map[string]any{"items": out, "truncated": truncated, "store_revision": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after int64, wait time.Duration) (int, any) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		s.mu.Lock()
		out := []any{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				out = append(out, e.message())
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			return 200, map[string]any{"events": out, "store_revision": revision}
		}
		select {
		case <-changed:
		case <-t.C:
			return 200, map[string]any{"events": out, "store_revision": revision}
		case <-r.Context().Done():
			return 503, nil
		}
	}
}

func (s *store) txn(m map[string]any) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, found := false, []any{}
	for _, p := range list(m["precondition"]) {
		p, _ := p.(map[string]any)
		i, ok := s.items[str(p["key"])]
		if ok {
			found = append(found, i.message())
		}
		conflict = conflict || i.Revision != num(p["revision"])
	}
	if conflict {
		return 412, map[string]any{"items": found}
	}
	for _, w := range list(m["writes"]) {
		w, _ := w.(map[string]any)
		if l := num(w["lease"]); l != 0 && s.leases[l] == nil {
			return 404, nil
		}
		if k := str(w["key"]); strings.HasPrefix(k, "op/") || strings.HasPrefix(k, "servers/") {
			return 403, nil
		}
	}
	s.revision++ // all changes of a transaction have one revision
	for _, w := range list(m["writes"]) {
		w, _ := w.(map[string]any)
		s.revision--
		s.put(str(w["key"]), str(w["value"]), num(w["lease"]))
	}
	for _, d := range list(m["deletes"]) {
		s.revision--
		if _, ok := s.items[str(d)]; !ok {
			s.revision++
			continue
		}
		s.del(str(d))
	}
	s.notify()
	return 200, map[string]any{"revision": s.revision}
}
