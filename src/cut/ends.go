package cut

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Ends counts the requests that have ended at one component. Its fields are set before its first use.
type Ends struct {
	Counter string // name of the counter, without labels
	Metrics *metrics.Set

	counters [numEnds][numEnders][2][2]atomic.Pointer[metrics.Counter] // by end, ender, Request.Sent and whether a planned stop has begun
}

// Count counts one request.
func (e *Ends) Count(q Request, stopping bool) {
	p := &e.counters[q.End][q.By][index(q.Sent)][index(stopping)]
	c := p.Load()
	if c == nil {
		c = e.Metrics.GetOrCreateCounter(fmt.Sprintf("%s{end=%q,sent=\"%t\",by=%q,stopping=\"%t\"}", e.Counter, q.End, q.Sent, q.By, stopping))
		p.Store(c)
	}
	c.Inc()
}

func index(b bool) int {
	if b {
		return 1
	}
	return 0
}
