package main

import (
	"context"
	"encoding/base64"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/platform/message"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/registry"
	"github.com/yuccaport/yuccaport/src/standin"
)

const (
	expiryInterval = 50 * time.Millisecond // between checks for leases that have ended
	silentTime     = 30 * time.Second      // for which a call to a silent store waits, longer than any caller does
)

// storeMode is how the store answers the machine of one listener.
type storeMode int32

const (
	storeWorks   storeMode = iota
	storeRefuses           // every call is answered 503: nothing was done
	storeSilent            // calls are not carried out and get no answer
)

// store serves the project's stand-in of the platform's store over HTTP, on one address per machine.
type store struct {
	data *standin.RegistryStore
}

// storeAccess is the store as one machine sees it.
type storeAccess struct {
	of   *store
	mode atomic.Int32
}

func newStore() *store {
	s := &store{data: standin.NewRegistryStore()}
	s.data.SetEra(1)
	go func() {
		for {
			s.data.ExpireLeases(time.Now())
			time.Sleep(expiryInterval)
		}
	}()
	return s
}

// listen serves the store at an address.
func (s *store) listen(addr string) (*storeAccess, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	a := &storeAccess{of: s}
	srv := &fasthttp.Server{Handler: a.handle, NoDefaultContentType: true, NoDefaultServerHeader: true}
	go func() { _ = srv.Serve(l) }()
	return a, nil
}

func (a *storeAccess) set(m storeMode) { a.mode.Store(int32(m)) }

func (a *storeAccess) handle(ctx *fasthttp.RequestCtx) {
	switch storeMode(a.mode.Load()) {
	case storeRefuses:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case storeSilent:
		time.Sleep(silentTime)
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	view := a.of.data.View()
	body, revision, err := a.of.call(ctx, view)
	era, _ := registry.SplitRevision(revision)
	if revision == 0 {
		era = view.Era()
	}
	if storeMode(a.mode.Load()) == storeSilent { // a watch that waited when the store went silent
		time.Sleep(silentTime)
		return
	}
	ctx.Response.Header.Set("Store-Era", strconv.FormatUint(era, 10))
	switch {
	case errors.Is(err, problem.NotFound):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case errors.Is(err, problem.Conflict):
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
	case errors.Is(err, registry.HistoryGone):
		ctx.SetStatusCode(fasthttp.StatusGone)
	case err != nil:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case body != nil:
		b, _ := body.MarshalMsg(nil) // to memory, cannot fail
		ctx.SetBody(b)
	}
}

// call carries out a call. It returns the body of its answer, nil for none, and the revision that
// the answer tells, 0 for none.
func (s *store) call(ctx *fasthttp.RequestCtx, view *standin.RegistryStore) (msgp.Marshaler, uint64, error) {
	callCtx := context.Background()
	q := ctx.QueryArgs()
	prefix := string(q.Peek("prefix"))
	switch path := string(ctx.Path()); {
	case path == "/kv-range":
		items, revision, err := view.List(callCtx, prefix)
		_, number := registry.SplitRevision(revision)
		return &message.Items{Items: encodeItems(items), StoreRevision: number}, revision, err
	case path == "/kv-watch":
		after, _ := strconv.ParseUint(string(q.Peek("after")), 10, 64)
		wait, _ := strconv.Atoi(string(q.Peek("wait_ms")))
		if _, _, err := view.List(callCtx, prefix); err != nil { // shows the era
			return nil, 0, err
		}
		items, revision, err := view.Watch(callCtx, prefix, registry.JoinRevision(view.Era(), after), time.Duration(wait)*time.Millisecond)
		_, number := registry.SplitRevision(revision)
		return &message.Events{Events: encodeItems(items), StoreRevision: number}, revision, err
	case path == "/kv-txn":
		return s.commit(callCtx, ctx.PostBody(), view)
	case path == "/kv-lease":
		var req message.LeaseRequest
		if _, err := req.UnmarshalMsg(ctx.PostBody()); err != nil {
			return nil, 0, err
		}
		lease, err := view.GrantLease(callCtx, time.Duration(req.TTLMS)*time.Millisecond)
		return &message.Lease{Lease: lease}, 0, err
	case strings.HasPrefix(path, "/kv-keep/"):
		lease, _ := strconv.ParseUint(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		return nil, 0, view.RenewLease(callCtx, lease)
	default:
		lease, _ := strconv.ParseUint(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		return nil, 0, view.RevokeLease(callCtx, lease)
	}
}

func (s *store) commit(ctx context.Context, body []byte, view *standin.RegistryStore) (msgp.Marshaler, uint64, error) {
	var msg message.Transaction
	if _, err := msg.UnmarshalMsg(body); err != nil {
		return nil, 0, err
	}
	var txn registry.Transaction
	for _, p := range msg.Precondition {
		txn.Preconditions = append(txn.Preconditions, registry.Precondition{Key: p.Key, Revision: p.Revision})
	}
	for _, w := range msg.Writes {
		value, err := base64.StdEncoding.DecodeString(w.Value)
		if err != nil {
			return nil, 0, err
		}
		txn.Writes = append(txn.Writes, registry.Write{Key: w.Key, Value: value, Lease: w.Lease})
	}
	revision, err := view.Commit(ctx, txn)
	_, number := registry.SplitRevision(revision)
	return &message.Committed{Revision: number}, revision, err
}

func encodeItems(items []registry.Item) []message.Item {
	out := []message.Item{}
	for _, i := range items {
		_, number := registry.SplitRevision(i.Revision)
		out = append(out, message.Item{Key: i.Key, Value: base64.StdEncoding.EncodeToString(i.Value), Revision: number, Deleted: i.Deleted})
	}
	return out
}
