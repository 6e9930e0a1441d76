package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
)

// Limits of the store that the command stands up.
const (
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 400
)

const maxWatchWait = time.Minute

// StoreServer is the HTTP face of a Keyspace, as kv.Remote calls it.
type StoreServer struct {
	Listener net.Listener
	Keyspace *Keyspace
	Log      logr.Logger

	ctx context.Context
}

// Run serves until ctx is over.
func (s *StoreServer) Run(ctx context.Context) error {
	s.ctx = ctx
	server := &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "store",
		MaxRequestBodySize:    2 * kv.MaxValueSize,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return serve(ctx, server, s.Listener)
}

func (s *StoreServer) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case kv.PathKey:
		s.key(c)
	case kv.PathLease:
		s.lease(c)
	case "/faults":
		s.faults(c)
	case "/calls":
		writeJSON(c, s.Keyspace.Calls())
	default:
		c.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (s *StoreServer) key(c *fasthttp.RequestCtx) {
	q := c.QueryArgs()
	key := string(q.Peek("key"))
	switch {
	case c.IsGet() && q.Has("wait_ms"):
		wait := min(time.Duration(number(q, "wait_ms"))*time.Millisecond, maxWatchWait)
		e, err := s.Keyspace.Watch(s.ctx, key, s.revisionOf(q, "after"), wait)
		s.entry(c, e, err)
	case c.IsGet():
		e, err := s.Keyspace.Get(s.ctx, key)
		s.entry(c, e, err)
	case c.IsPut():
		revision, err := s.Keyspace.Swap(s.ctx, key, s.revisionOf(q, "expect"), c.PostBody())
		era, _ := kv.SplitRevision(revision)
		if err != nil {
			era = s.Keyspace.Era()
		}
		s.entry(c, kv.Entry{Revision: revision, Era: era}, err)
	case c.IsDelete():
		err := s.Keyspace.Delete(s.ctx, key, s.revisionOf(q, "expect"))
		s.entry(c, kv.Entry{Era: s.Keyspace.Era()}, err)
	default:
		c.Error("no such method", fasthttp.StatusMethodNotAllowed)
	}
}

func (s *StoreServer) lease(c *fasthttp.RequestCtx) {
	q := c.QueryArgs()
	l := kv.Lease{
		Key:    string(q.Peek("key")),
		Holder: string(q.Peek("holder")),
		Token:  number(q, "token"),
		TTL:    time.Duration(number(q, "ttl_ms")) * time.Millisecond,
	}
	var err error
	switch {
	case c.IsPost():
		l, err = s.Keyspace.Grant(s.ctx, l.Key, l.Holder, l.TTL)
	case c.IsPut():
		err = s.Keyspace.Renew(s.ctx, l)
	case c.IsDelete():
		err = s.Keyspace.Release(s.ctx, l)
	default:
		c.Error("no such method", fasthttp.StatusMethodNotAllowed)
		return
	}
	s.entry(c, kv.Entry{Revision: l.Token, Era: s.Keyspace.Era()}, err)
}

// entry answers a call; a lost answer closes the connection.
func (s *StoreServer) entry(c *fasthttp.RequestCtx, e kv.Entry, err error) {
	if errors.Is(err, problem.Unsure) {
		hangUp(c)
		return
	}
	if err != nil {
		c.Error(err.Error(), statusOf(err))
		c.Response.Header.Set(kv.HeaderEra, strconv.FormatUint(e.Era, 10))
		return
	}
	_, revision := kv.SplitRevision(e.Revision)
	c.Response.Header.Set(kv.HeaderRevision, strconv.FormatUint(revision, 10))
	c.Response.Header.Set(kv.HeaderEra, strconv.FormatUint(e.Era, 10))
	c.SetBody(e.Value)
}

func (s *StoreServer) faults(c *fasthttp.RequestCtx) {
	if !c.IsPut() {
		writeJSON(c, s.Keyspace.Faults())
		return
	}
	var f Faults
	if err := json.Unmarshal(c.PostBody(), &f); err != nil {
		c.Error("faults: "+err.Error()+"; send a JSON object of faults", fasthttp.StatusBadRequest)
		return
	}
	s.Keyspace.SetFaults(f)
	s.Log.Info("faults set", "faults", f)
	writeJSON(c, f)
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, problem.NotFound):
		return fasthttp.StatusNotFound
	case errors.Is(err, problem.Conflict):
		return fasthttp.StatusConflict
	case errors.Is(err, problem.Usage):
		return fasthttp.StatusRequestEntityTooLarge
	}
	return fasthttp.StatusServiceUnavailable
}

// revisionOf returns a query argument that is a revision, joined with its era, or with the current
// one if none is given. 0
// without an era stays 0.
func (s *StoreServer) revisionOf(q *fasthttp.Args, name string) uint64 {
	n, era := number(q, name), number(q, kv.ArgumentEra)
	if n != 0 && !q.Has(kv.ArgumentEra) {
		era = s.Keyspace.Era()
	}
	return kv.JoinRevision(era, n)
}

// number returns a query argument, 0 when it is missing or malformed.
func number(q *fasthttp.Args, name string) uint64 {
	n, _ := strconv.ParseUint(string(q.Peek(name)), 10, 64)
	return n
}

func writeJSON(c *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(b)
}

// hangUp closes the connection without an answer.
func hangUp(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(net.Conn) {})
}
