package dispatch

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/yuccaport/yuccaport/src/tenants"
)

// counters are the proxy's metrics.
type counters struct {
	calls, answers, notRun, mayHaveRun, noRoute, callsAborted, answersTruncated, panics *metrics.Counter
	attempts, retries, hedges                                                           *metrics.Counter // retries are the attempts after the first, hedged requests included
	unauthorized                                                                        map[tenants.Verdict]*metrics.Counter
	answerSeconds                                                                       *metrics.Histogram // from the start of a call until its answer is accepted
}

func newCounters(s *metrics.Set) *counters {
	unauthorized := map[tenants.Verdict]*metrics.Counter{}
	for _, v := range tenants.Verdicts {
		if v != tenants.VerdictAccepted {
			unauthorized[v] = s.NewCounter(fmt.Sprintf("yuccaport_dispatch_unauthorized_total{reason=%q}", v))
		}
	}
	return &counters{
		unauthorized:     unauthorized,
		calls:            s.NewCounter("yuccaport_dispatch_calls_total"),
		answers:          s.NewCounter("yuccaport_dispatch_answers_total"),
		notRun:           s.NewCounter("yuccaport_dispatch_refused_not_run_total"),
		mayHaveRun:       s.NewCounter("yuccaport_dispatch_refused_may_have_run_total"),
		noRoute:          s.NewCounter("yuccaport_dispatch_no_route_total"),
		callsAborted:     s.NewCounter("yuccaport_dispatch_callers_gone_total"),
		answersTruncated: s.NewCounter("yuccaport_dispatch_answers_cut_total"),
		panics:           s.NewCounter("yuccaport_dispatch_panics_total"),
		attempts:         s.NewCounter("yuccaport_dispatch_attempts_total"),
		retries:          s.NewCounter("yuccaport_dispatch_retries_total"),
		hedges:           s.NewCounter("yuccaport_dispatch_hedges_total"),
		answerSeconds:    s.NewHistogram("yuccaport_dispatch_answer_seconds"),
	}
}
