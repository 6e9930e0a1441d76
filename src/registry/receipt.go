package registry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccaport/yuccaport/src/wire"
)

// receipt says how a configuration reached this agent, and where the time went.
type receipt struct {
	from     uint64        // member that sent it, 0 for the store
	bytes    int           // received, encoded
	delta    bool          // encoded as a delta
	cutOff   time.Duration // before it: without an answer of the store or a reader
	transfer time.Duration // from its first announcement here, or from the question to the store, until it was whole
	unpack   time.Duration
}

// receiptMetrics are the histograms of the time from a configuration's first announcement here to
// in force, by cause.
type receiptMetrics struct{ cutOff, transfer, unpack, apply *metrics.Histogram }

func newReceiptMetrics(s *metrics.Set) receiptMetrics {
	seconds := func(cause string) *metrics.Histogram {
		return s.GetOrCreateHistogram(fmt.Sprintf("yuccaport_registry_config_seconds{cause=%q}", cause))
	}
	return receiptMetrics{cutOff: seconds("cut_off"), transfer: seconds("transfer"), unpack: seconds("unpack"), apply: seconds("apply")}
}

// newGauges adds the version of the newest configuration, and the time without an answer of the
// store or a reader, and of what is known.
func (f *Follower) newGauges() {
	f.Metrics.GetOrCreateGauge("yuccaport_registry_config_version", func() float64 {
		_, version := f.config()
		return float64(version)
	})
	f.directReads = f.Metrics.GetOrCreateCounter("yuccaport_registry_direct_reads_total")
	f.Metrics.GetOrCreateGauge("yuccaport_registry_age_seconds", func() float64 { return f.Age().Seconds() })
	f.Metrics.GetOrCreateGauge("yuccaport_registry_cut_off_seconds", func() float64 {
		return f.cutOffFor().Seconds()
	})
}

// cutOffFor returns for how long neither the store nor a reader has answered, 0 while one does.
func (f *Follower) cutOffFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cutOffSince.IsZero() {
		return 0
	}
	return time.Since(f.cutOffSince)
}

// noteReceipt remembers how the configuration of a reply was received, until it is put in force.
func (f *Follower) noteReceipt(r wire.RegistryReply, how receipt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receipts = map[uint64]receipt{r.Config: how}
}

// noteStoreReceipt does the same for a configuration among the items of an answer of the store, to
// a question asked at began.
func (f *Follower) noteStoreReceipt(items []Item, began time.Time) {
	for _, i := range items {
		if i.Key == f.Keys.Config && !i.Deleted {
			f.noteReceipt(wire.RegistryReply{Config: i.Revision}, receipt{bytes: len(i.Value), transfer: time.Since(began)})
		}
	}
}

// noteCutOff records that neither the store nor a reader has answered since a time.
func (f *Follower) noteCutOff(since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sourceID = 0
	if f.cutOffSince.IsZero() {
		f.cutOffSince = since
	}
}

// endCutOff records that the store or a reader has answered, and what it said has been applied.
func (f *Follower) endCutOff() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutOffSince = time.Time{}
}

// takeReceipt returns how the configuration at a revision was received; the caller must hold f.mu.
func (f *Follower) takeReceipt(revision uint64, now time.Time) receipt {
	how := f.receipts[revision]
	if !f.cutOffSince.IsZero() {
		how.cutOff = now.Sub(f.cutOffSince)
	}
	return how
}

// noteInForce logs and counts where the time of a configuration went.
func (f *Follower) noteInForce(version uint64, how receipt, apply time.Duration) {
	f.mu.Lock()
	f.applyTime = apply
	f.mu.Unlock()
	f.receiptMetrics.cutOff.Update(how.cutOff.Seconds())
	f.receiptMetrics.transfer.Update(how.transfer.Seconds())
	f.receiptMetrics.unpack.Update(how.unpack.Seconds())
	f.receiptMetrics.apply.Update(apply.Seconds())
	f.Log.Info("configuration received", "version", version, "from", how.from, "bytes", how.bytes, "delta", how.delta,
		"cut_off_ms", how.cutOff.Milliseconds(), "transfer_ms", how.transfer.Milliseconds(), "unpack_ms", how.unpack.Milliseconds(), "apply_ms", apply.Milliseconds())
}
