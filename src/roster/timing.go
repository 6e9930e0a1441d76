package roster

import (
	"math"
	"time"

	"github.com/yuccaport/yuccaport/src/settings"
)

// Timing holds the periods that differ between the profiles.
type Timing struct {
	ProbePeriod      time.Duration `json:"probe_period"`  // between two pings of this daemon
	AckTimeout       time.Duration `json:"ack_timeout"`   // until a ping is tried through others
	GossipPeriod     time.Duration `json:"gossip_period"` // between two rounds of news, when there is any
	GossipRate       float64       `json:"gossip_rate"`   // bytes a second of news at most, pings left aside
	LostProbePeriod  time.Duration `json:"lost_period"`   // between two pings of members that died
	ExchangeInterval time.Duration `json:"exchange_gap"`  // between two roster exchanges at least
	SettleTime       time.Duration `json:"settle_time"`   // that digests may differ before an exchange
	SeedCheckPeriod  time.Duration `json:"seed_period"`   // between two looks at the seed record by its writers
}

// NewTiming returns the periods of a profile.
func NewTiming(p settings.Profile) Timing {
	if p == settings.ProfileThrifty {
		return Timing{
			ProbePeriod:      time.Second,
			AckTimeout:       300 * time.Millisecond,
			GossipPeriod:     200 * time.Millisecond,
			GossipRate:       4 << 10,
			LostProbePeriod:  5 * time.Second,
			ExchangeInterval: 3 * time.Second,
			SettleTime:       3 * time.Second,
			SeedCheckPeriod:  time.Minute,
		}
	}
	return Timing{
		ProbePeriod:      500 * time.Millisecond,
		AckTimeout:       150 * time.Millisecond,
		GossipPeriod:     100 * time.Millisecond,
		GossipRate:       8 << 10,
		LostProbePeriod:  2 * time.Second,
		ExchangeInterval: time.Second,
		SettleTime:       1500 * time.Millisecond,
		SeedCheckPeriod:  30 * time.Second,
	}
}

// suspicionTime returns how long a member among n has to refute a suspicion.
func (t Timing) suspicionTime(n int) time.Duration {
	return time.Duration(suspicionFactor * magnitude(n) * float64(t.ProbePeriod))
}

// magnitude returns the decimal logarithm of a fleet's size, at least 1.
func magnitude(n int) float64 { return max(1, math.Log10(float64(n+1))) }
