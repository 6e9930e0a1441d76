package booking

import "time"

const (
	// minServedShare is the share of a kind's calls to serve, as a share of that of all calls. It exceeds
	// the stated bound of a quarter by what one call among maxKindSamples amounts to.
	minServedShare = 0.3
	maxKindSamples = 64  // calls of a kind after which older ones count half
	maxKinds       = 256 // most kinds with counts; a further kind discards all counts
)

// kind is what calls are grouped by for the bound on starvation.
type kind struct {
	rank  int
	route string
}

// kindCount counts calls.
type kindCount struct {
	offered, served float64

	used    float64 // seconds of slot time of the calls admitted in time, decaying over usageWindow
	updated time.Time
}

func (k *kindCount) decay(samples float64) {
	if k.offered >= samples {
		k.offered, k.served = k.offered/2, k.served/2
	}
}

func (k *kindCount) share() float64 { return min(1, k.served/max(1, k.offered)) }

// kindShares tracks how often calls of each kind are served. A call counts where it is run, or
// where it was sent as the last server to try. Counts instead of times make the bound hold for rare
// kinds too.
type kindShares struct {
	kinds map[kind]*kindCount
	all   kindCount
}

func (s *kindShares) offer(k kind, weight float64) {
	n := s.kinds[k]
	if n == nil {
		if s.kinds == nil || len(s.kinds) >= maxKinds {
			s.kinds = map[kind]*kindCount{}
		}
		n = &kindCount{}
		s.kinds[k] = n
	}
	n.decay(maxKindSamples)
	s.all.decay(maxKindSamples * 8)
	n.offered += weight
	s.all.offered += weight
}

func (s *kindShares) use(now time.Time, k kind, d time.Duration) {
	if n := s.kinds[k]; n != nil {
		n.used, n.updated = n.usedAt(now)+d.Seconds(), now
	}
}

// usedAt returns the slot time in seconds that the kind has used recently.
func (k *kindCount) usedAt(now time.Time) float64 {
	return k.used * max(0, 1-now.Sub(k.updated).Seconds()/usageWindow.Seconds())
}

func (s *kindShares) serve(k kind) {
	if n := s.kinds[k]; n != nil {
		n.served++
	}
	s.all.served++
}

// isStarved reports whether serving one more call leaves the kind at or below minServedShare. A
// kind that is served as often as one of a more urgent rank is not starved.
func (s *kindShares) isStarved(k kind) bool {
	n := s.kinds[k]
	if n == nil || n.served+1 > minServedShare*n.offered*s.all.share() {
		return false
	}
	for other, m := range s.kinds {
		if other.rank < k.rank && m.offered > 0 && m.share() <= n.share() {
			return false
		}
	}
	return true
}
