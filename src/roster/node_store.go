package roster

import (
	"context"
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/yuccaport/yuccaport/src/problem"
)

const (
	seedPrefix   = "seed/" // followed by a failure domain
	domainsKey   = "seed-domains"
	storeTimeout = 2 * time.Second
)

// callStore hands an action to the worker that talks to the store.
func (n *Node) callStore(a Action) {
	select {
	case n.toStore <- a:
	default:
		n.Log.V(1).Info("seed record not read", "reason", "store is slow")
	}
}

func (n *Node) serveStore(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-n.toStore:
			n.carryOut(ctx, a)
		}
	}
}

func (n *Node) carryOut(ctx context.Context, a Action) {
	switch a := a.(type) {
	case ReadSeeds:
		n.post(ctx, n.readSeeds(ctx, a.Domain))
	case ReadDomains:
		n.post(ctx, n.readDomains(ctx))
	case WriteSeeds:
		if n.swap(ctx, seedPrefix+a.Domain, a.Revision, &a.Seeds) {
			e := n.readSeeds(ctx, a.Domain)
			e.Conflict = true
			n.post(ctx, e)
		}
	case WriteDomains:
		if n.swap(ctx, domainsKey, a.Revision, &a.Index) {
			n.post(ctx, n.readDomains(ctx))
		}
	}
}

func (n *Node) readSeeds(ctx context.Context, domain string) SeedsRead {
	e := SeedsRead{Domain: domain}
	e.Revision, e.Failed = n.get(ctx, seedPrefix+domain, &e.Seeds)
	return e
}

func (n *Node) readDomains(ctx context.Context) DomainsRead {
	e := DomainsRead{}
	e.Revision, e.Failed = n.get(ctx, domainsKey, &e.Index)
	return e
}

// get reads a record; one that does not exist has revision 0, one that is malformed is read as empty.
func (n *Node) get(ctx context.Context, key string, v msgp.Unmarshaler) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := n.Store.Get(ctx, key)
	if errors.Is(err, problem.NotFound) {
		return 0, false
	}
	if err != nil {
		n.Log.V(1).Info("seed record not read", "key", key, "reason", err.Error())
		return 0, true
	}
	if _, err := v.UnmarshalMsg(e.Value); err != nil {
		n.Log.Info("seed record malformed", "key", key, "reason", err.Error())
	}
	return e.Revision, false
}

// swap writes a record and tells whether another daemon wrote it before.
func (n *Node) swap(ctx context.Context, key string, revision uint64, v msgp.Marshaler) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	b, err := v.MarshalMsg(nil)
	if err != nil {
		return false
	}
	_, err = n.Store.Swap(ctx, key, revision, b)
	if err != nil {
		n.Log.V(1).Info("seed record not written", "key", key, "reason", err.Error())
	}
	return errors.Is(err, problem.Conflict)
}
