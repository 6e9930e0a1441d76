package rollout

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

const (
	maxServices      = 64 // services that metrics name, and that a stop of an unknown order may add; the rest count as one
	maxLabelVersions = 8  // versions that metrics name; the rest count as one
	otherLabel       = "other"
)

var outcomeNames = map[Outcome]string{
	OutcomeAnswered: "answered", OutcomeFailed: "failed", OutcomeHung: "hung", OutcomeCrashed: "crashed", OutcomeCut: "cut",
}

// runLabels identifies a counter of runs.
type runLabels struct {
	version string
	outcome Outcome
}

// nodeCounters holds the metrics of a node, with a bounded number of label values.
type nodeCounters struct {
	set *metrics.Set

	mu       sync.Mutex
	runs     map[runLabels]*metrics.Counter
	stages   map[string]Routing
	versions map[string]bool
}

func (c *nodeCounters) setStage(service string, r Routing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stages == nil {
		c.stages = map[string]Routing{}
	}
	if _, ok := c.stages[service]; !ok {
		if len(c.stages) >= maxServices || r.Order == 0 {
			return
		}
		c.set.GetOrCreateGauge(fmt.Sprintf(`yuccaport_rollout_stage{service=%q}`, service), func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return float64(c.stages[service].Stage)
		})
		c.set.GetOrCreateGauge(fmt.Sprintf(`yuccaport_rollout_stopped{service=%q}`, service), func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.stages[service].Stopped {
				return 1
			}
			return 0
		})
	}
	c.stages[service] = r
}

// countRun counts the run of a call at the own backend server under an order.
func (c *nodeCounters) countRun(service, version string, o Outcome) {
	name, ok := outcomeNames[o]
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.runs[runLabels{version, o}]; n != nil {
		n.Inc()
		return
	}
	if c.versions == nil {
		c.versions, c.runs = map[string]bool{}, map[runLabels]*metrics.Counter{}
	}
	labels := runLabels{version, o}
	if !c.versions[version] {
		if len(c.versions) >= maxLabelVersions {
			version = otherLabel
		}
		c.versions[version] = true
	}
	n := c.set.GetOrCreateCounter(fmt.Sprintf(`yuccaport_rollout_runs_total{service=%q,version=%q,outcome=%q}`, service, version, name))
	if len(c.runs) < 2*maxLabelVersions*len(outcomeNames) {
		c.runs[labels] = n
	}
	n.Inc()
}

// refused counts a call that the gate has refused.
func (c *nodeCounters) refused(a Admission) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`yuccaport_rollout_refused_total{reason=%q}`, string(a))).Inc()
}
