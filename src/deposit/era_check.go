package deposit

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
)

// settledKey holds the highest era that a holder has found settled, so that a daemon that starts
// later need not wait. A
// restored copy never holds the era that it begins.
const settledKey = slotPrefix + "settled-era"

// startEraChecks makes a check of the store's era at intervals until ctx is done, and at once when
// the timer is reset to 0.
func (g *Guard) startEraChecks(ctx context.Context) {
	interval := g.core.Timeout / eraCheckFraction
	g.checking.Lock()
	defer g.checking.Unlock()
	g.checkTimer = time.AfterFunc(interval, func() {
		g.checking.Lock()
		defer g.checking.Unlock()
		if ctx.Err() != nil {
			return
		}
		if g.needsEra() {
			g.checkEra(ctx)
		}
		g.checkTimer.Reset(interval)
	})
}

// needsEra reports whether the era matters: a store that names eras can lack claims of this holder,
// or is not settled.
func (g *Guard) needsEra() bool {
	store, ok := g.Store.(kv.Eras)
	if !ok || !store.NamesEra() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.memory.order.Len() > 0 || g.core.settling.unsettled
}

// checkEra reads the store's era, writes the claims again that the store may have lost with an era,
// and records that the era is settled.
func (g *Guard) checkEra(ctx context.Context) {
	entry, err := g.Store.Get(ctx, settledKey)
	if err != nil && !errors.Is(err, problem.NotFound) {
		return
	}
	value := strconv.FormatUint(entry.Era, 10)
	settled := string(entry.Value) == value
	g.step(EraRead{Era: entry.Era, Settled: settled})
	for {
		closed, _ := g.run(ctx, Rewriting{Call: g.nextCall()}).(Close)
		if !closed.OK {
			break
		}
		g.Metrics.GetOrCreateCounter(`yuccaport_deposit_claims_checked_total`).Inc()
	}
	if !settled && g.hasSettled(entry.Era) {
		expected := entry.Revision
		if expected == 0 {
			expected = kv.JoinRevision(entry.Era, 0)
		}
		// A failed write is repeated at the next check of a holder that does not find the key.
		_, _ = g.Store.Swap(ctx, settledKey, expected, []byte(value))
	}
}

// hasSettled reports whether this holder has waited until an era was settled.
func (g *Guard) hasSettled(era uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return era > 0 && era == g.core.settling.era && g.core.settling.remaining(g.Now()) == 0
}

// observeEra logs a rise of the store's era and asks for a check of it.
func (g *Guard) observeEra(before, after uint64, claims int) {
	if before == after {
		return
	}
	g.Metrics.GetOrCreateCounter(`yuccaport_deposit_store_restores_total`).Inc()
	g.Log.Info("store came back from an older copy, or was seen for the first time since", "era", after, "before", before, "own_claims", claims,
		"outcome", "new payments refused as not run until the holders have written their claims again", "at_most", g.core.Timeout.String())
	g.checkTimer.Reset(0)
}
