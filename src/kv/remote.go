package kv

import (
	"bufio"
	"context"
	"errors"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/lane"
	"github.com/yuccaport/yuccaport/src/problem"
)

// DefaultTimeout bounds a call of Remote whose Timeout is 0.
const DefaultTimeout = 2 * time.Second

// Remote is a Store behind the platform's HTTP face; it never repeats a call by itself.
type Remote struct {
	Addr    netip.AddrPort
	Prefix  string        // put before every key
	Timeout time.Duration // of a call, beyond the wait of a watch

	once   sync.Once
	client lane.Client
	skew   skew

	namesEra atomic.Bool
}

var _ Store = (*Remote)(nil)

// Get implements Store.
func (r *Remote) Get(ctx context.Context, key string) (Entry, error) {
	req := r.request(fasthttp.MethodGet, PathKey, key)
	defer fasthttp.ReleaseRequest(req)
	a, err := r.do(ctx, req, 0)
	return a.entry(key), r.classify(err, key, false)
}

// Swap implements Store.
func (r *Remote) Swap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	req := r.request(fasthttp.MethodPut, PathKey, key)
	defer fasthttp.ReleaseRequest(req)
	r.setRevision(req, "expect", expect)
	req.SetBodyRaw(value)
	a, err := r.do(ctx, req, 0)
	return a.entry(key).Revision, r.classify(err, key, true)
}

// Delete implements Store.
func (r *Remote) Delete(ctx context.Context, key string, expect uint64) error {
	req := r.request(fasthttp.MethodDelete, PathKey, key)
	defer fasthttp.ReleaseRequest(req)
	r.setRevision(req, "expect", expect)
	_, err := r.do(ctx, req, 0)
	return r.classify(err, key, true)
}

// Watch implements Store by a long poll.
func (r *Remote) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	req := r.request(fasthttp.MethodGet, PathKey, key)
	defer fasthttp.ReleaseRequest(req)
	r.setRevision(req, "after", after)
	setNumber(req, "wait_ms", milliseconds(wait))
	a, err := r.do(ctx, req, wait)
	return a.entry(key), r.classify(err, key, false)
}

// Grant implements Store.
func (r *Remote) Grant(ctx context.Context, key, holder string, ttl time.Duration) (Lease, error) {
	l := Lease{Key: key, Holder: holder, TTL: ttl}
	a, err := r.lease(ctx, fasthttp.MethodPost, l)
	l.Token = a.revision
	return l, err
}

// Renew implements Store.
func (r *Remote) Renew(ctx context.Context, l Lease) error {
	_, err := r.lease(ctx, fasthttp.MethodPut, l)
	return err
}

// Release implements Store.
func (r *Remote) Release(ctx context.Context, l Lease) error {
	_, err := r.lease(ctx, fasthttp.MethodDelete, l)
	return err
}

func (r *Remote) lease(ctx context.Context, method string, l Lease) (answer, error) {
	req := r.request(method, PathLease, l.Key)
	defer fasthttp.ReleaseRequest(req)
	req.URI().QueryArgs().Set("holder", l.Holder)
	setNumber(req, "token", l.Token)
	setNumber(req, "ttl_ms", milliseconds(l.TTL))
	a, err := r.do(ctx, req, 0)
	return a, r.classify(err, l.Key, true)
}

func (r *Remote) request(method, path, key string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + r.Addr.String() + path)
	req.URI().QueryArgs().Set("key", r.Prefix+key)
	return req
}

func setNumber(req *fasthttp.Request, name string, n uint64) {
	req.URI().QueryArgs().Set(name, strconv.FormatUint(n, 10))
}

// setRevision sets a revision as its number and its era. The era is left out for a store that names
// none, and for 0, which
// stands for a missing key in any era.
func (r *Remote) setRevision(req *fasthttp.Request, name string, revision uint64) {
	era, number := SplitRevision(revision)
	setNumber(req, name, number)
	if revision != 0 && (era != 0 || r.namesEra.Load()) {
		setNumber(req, ArgumentEra, era)
	}
}

// milliseconds rounds up, so that a short wait is not none.
func milliseconds(d time.Duration) uint64 {
	return uint64((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}

// do carries out one call on one connection.
func (r *Remote) do(ctx context.Context, req *fasthttp.Request, wait time.Duration) (answer, error) {
	r.once.Do(func() { r.client.Addr = r.Addr })
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+wait)
	defer cancel()
	var a answer
	err := r.client.Do(ctx, req, func(br *bufio.Reader) (bool, error) {
		var err error
		a, err = readAnswer(br)
		return !a.close, err
	})
	if err != nil {
		return answer{}, err
	}
	r.skew.observe(a.date, time.Now())
	r.namesEra.Store(a.namesEra)
	return a, a.check()
}

// Close closes the idle connections; later calls open new ones.
func (r *Remote) Close() error { return r.client.Close() }

// classify gives a call's error the kind that Store promises.
func (r *Remote) classify(err error, key string, write bool) error {
	if err == nil || errors.Is(err, problem.NotFound) || errors.Is(err, problem.Conflict) || errors.Is(err, problem.Usage) {
		return err
	}
	place := r.Addr.String() + " " + key
	if write && !errors.As(err, new(lane.NotSent)) {
		return problem.Wrap(problem.Unsure, err, place, "no answer to a write", "read the key again before the next write")
	}
	return problem.Wrap(problem.Unavailable, err, place, "call not carried out", "see that the store at [store] addr runs and is within its rate")
}
