package roster

import (
	"math"
	"time"

	"github.com/yuccaport/yuccaport/src/settings"
)

// Timing holds the protocol periods, which depend on the profile.
type Timing struct {
	ProbePeriod         time.Duration `json:"probe_period"`  // between two pings sent by this daemon
	AckTimeout          time.Duration `json:"ack_timeout"`   // without an ack until indirect pings are requested
	GossipPeriod        time.Duration `json:"gossip_period"` // between two rounds of gossip while updates are queued
	GossipRate          float64       `json:"gossip_rate"`   // maximum bytes per second of gossip, not counting pings
	LostProbePeriod     time.Duration `json:"lost_period"`   // mean interval between rounds of pings of lost members
	MinExchangeInterval time.Duration `json:"exchange_gap"`  // mean of the minimum from the start of an exchange to the next for a differing digest, which is drawn at random from half to one and a half times this
	SettleTime          time.Duration `json:"settle_time"`   // without a change of the view before differing digests lead to a sync
	SeedCheckPeriod     time.Duration `json:"seed_period"`   // mean interval between two reads of the seed record by one of its writers
}

// NewTiming returns the timing of a profile; any other than thrifty gets that of fast.
func NewTiming(p settings.Profile) Timing {
	if p == settings.ProfileThrifty {
		return Timing{
			ProbePeriod:         time.Second,
			AckTimeout:          300 * time.Millisecond,
			GossipPeriod:        200 * time.Millisecond,
			GossipRate:          4 << 10,
			LostProbePeriod:     5 * time.Second,
			MinExchangeInterval: 3 * time.Second,
			SettleTime:          3 * time.Second,
			SeedCheckPeriod:     time.Minute,
		}
	}
	return Timing{
		ProbePeriod:         500 * time.Millisecond,
		AckTimeout:          150 * time.Millisecond,
		GossipPeriod:        100 * time.Millisecond,
		GossipRate:          8 << 10,
		LostProbePeriod:     2 * time.Second,
		MinExchangeInterval: time.Second,
		SettleTime:          1500 * time.Millisecond,
		SeedCheckPeriod:     30 * time.Second,
	}
}

// suspicionTime returns how long a member among n has to refute a suspicion.
func (t Timing) suspicionTime(n int) time.Duration {
	return time.Duration(suspicionFactor * logSize(n) * float64(t.ProbePeriod))
}

// logSize returns the decimal logarithm of the cluster's size, n members and this one, but at least 1.
func logSize(n int) float64 { return max(1, math.Log10(float64(n+1))) }
