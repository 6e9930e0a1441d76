package tenants

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	maxLabels     = 24 // tenants with counters of their own, those with the highest limits; the rest count as one
	otherLabel    = "other tenants"
	decayInterval = 30 * time.Second // after which counts for the worst tenth are halved
)

// tenantCounts counts the decisions by tenant.
type tenantCounts struct {
	set      *metrics.Set
	other    *tenantCounters
	byTenant map[string]*tenantCounters
	decayed  time.Time
}

// tenantCounters counts the decisions about one tenant's requests.
type tenantCounters struct {
	admitted, refused       *metrics.Counter
	recent, recentlyRefused float64
}

func (t *tenantCounts) init(set *metrics.Set) {
	t.set, t.byTenant = set, map[string]*tenantCounters{}
	t.other = t.counters(otherLabel)
}

func (t *tenantCounts) counters(label string) *tenantCounters {
	return &tenantCounters{
		admitted: t.set.GetOrCreateCounter(fmt.Sprintf("yuccaport_tenant_admitted_total{tenant=%q}", label)),
		refused:  t.set.GetOrCreateCounter(fmt.Sprintf("yuccaport_tenant_refused_total{tenant=%q}", label)),
	}
}

// configure gives counters to the tenants with the highest limits. Labels are not given up while the
// process runs, so tenants that come later may count with the rest.
func (t *tenantCounts) configure(limits map[string]Limit) {
	names := slices.SortedFunc(maps.Keys(limits), func(a, b string) int {
		return cmp.Or(cmp.Compare(limits[b].RatePerSecond, limits[a].RatePerSecond), cmp.Compare(a, b))
	})
	labels := 0
	for _, c := range t.byTenant {
		if c.admitted != t.other.admitted {
			labels++
		}
	}
	for _, name := range names {
		switch {
		case t.byTenant[name] != nil:
		case labels < maxLabels:
			labels++
			t.byTenant[name] = t.counters(name)
		default:
			t.byTenant[name] = &tenantCounters{admitted: t.other.admitted, refused: t.other.refused}
		}
	}
}

func (t *tenantCounts) add(tenant string, admitted bool) {
	c := t.byTenant[tenant]
	if c == nil {
		c = t.other
	}
	c.recent++
	if admitted {
		c.admitted.Inc()
		return
	}
	c.recentlyRefused++
	c.refused.Inc()
}

// decay halves the counts for the worst tenth.
func (t *tenantCounts) decay(now time.Time) {
	if now.Sub(t.decayed) < decayInterval {
		return
	}
	t.decayed = now
	for _, c := range t.byTenant {
		c.recent, c.recentlyRefused = c.recent/2, c.recentlyRefused/2
	}
}

// worstTenth returns the share admitted of the requests of the tenth of tenants that had the lowest
// share lately, 1 without requests.
func (t *tenantCounts) worstTenth() float64 {
	var shares []float64
	for _, c := range t.byTenant {
		if c.recent >= 1 {
			shares = append(shares, 1-c.recentlyRefused/c.recent)
		}
	}
	if len(shares) == 0 {
		return 1
	}
	slices.Sort(shares)
	worst := shares[:(len(shares)+9)/10]
	sum := 0.0
	for _, s := range worst {
		sum += s
	}
	return sum / float64(len(worst))
}
