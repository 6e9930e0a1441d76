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

// queueStoreAction queues an action for runStoreActions, or drops it if the queue is full.
func (n *Node) queueStoreAction(a Action) {
	select {
	case n.storeActions <- a:
	default:
		n.Log.V(1).Info("store action dropped", "reason", "store action queue is full")
	}
}

// runStoreActions carries out queued store actions, one at a time, until ctx is done.
func (n *Node) runStoreActions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-n.storeActions:
			n.runStoreAction(ctx, a)
		}
	}
}

// runStoreAction carries out a store action. A read posts its result; a write posts only after a conflict, and then the
// record that it met.
func (n *Node) runStoreAction(ctx context.Context, a Action) {
	switch a := a.(type) {
	case ReadSeeds:
		n.postResult(ctx, n.readSeeds(ctx, a.Domain))
	case ReadDomains:
		n.postResult(ctx, n.readDomains(ctx))
	case WriteSeeds:
		if n.swapRecord(ctx, seedPrefix+a.Domain, a.Revision, &a.Seeds) {
			e := n.readSeeds(ctx, a.Domain)
			e.Conflict = true
			n.postResult(ctx, e)
		}
	case WriteDomains:
		if n.swapRecord(ctx, domainsKey, a.Revision, &a.Index) {
			n.postResult(ctx, n.readDomains(ctx))
		}
	}
}

func (n *Node) readSeeds(ctx context.Context, domain string) SeedsRead {
	e := SeedsRead{Domain: domain}
	e.Revision, e.Failed = n.readRecord(ctx, seedPrefix+domain, &e.Seeds)
	return e
}

func (n *Node) readDomains(ctx context.Context) DomainsRead {
	e := DomainsRead{}
	e.Revision, e.Failed = n.readRecord(ctx, domainsKey, &e.Index)
	return e
}

// readRecord decodes a record into v and returns its revision and whether the store failed; a missing record has revision 0, a malformed one counts as empty.
func (n *Node) readRecord(ctx context.Context, key string, v msgp.Unmarshaler) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := n.Store.Get(ctx, key)
	if errors.Is(err, problem.NotFound) {
		return 0, false
	}
	if err != nil {
		n.Log.V(1).Info("store record not read", "key", key, "reason", err.Error())
		return 0, true
	}
	if _, err := v.UnmarshalMsg(e.Value); err != nil {
		n.Log.Info("store record malformed", "key", key, "reason", err.Error())
	}
	return e.Revision, false
}

// swapRecord writes a record if it still has the revision, and reports whether another daemon had written it.
func (n *Node) swapRecord(ctx context.Context, key string, revision uint64, v msgp.Marshaler) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	b, err := v.MarshalMsg(nil)
	if err != nil {
		return false
	}
	_, err = n.Store.Swap(ctx, key, revision, b)
	if err != nil {
		n.Log.V(1).Info("store record not written", "key", key, "reason", err.Error())
	}
	return errors.Is(err, problem.Conflict)
}
