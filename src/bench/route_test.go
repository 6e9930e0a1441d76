package bench_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/yuccaport/yuccaport/src/bench"
	"github.com/yuccaport/yuccaport/src/problem"
)

func TestRouteAnswersEveryCall(t *testing.T) {
	c := qt.New(t)
	r := &bench.Route{Deployment: bench.Hollins(), Rate: 20, Duration: 2 * time.Second, Seed: 1, Faults: []string{"store_down"}, Log: logr.Discard()}
	got, err := r.Run(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(got.Calls > 200, qt.IsTrue, qt.Commentf("%d calls", got.Calls))
	c.Check(got.Failed, qt.Equals, 0)
	c.Check(got.Held(), qt.IsNil, qt.Commentf("%+v", got))
}

func TestRouteRefusesBadInput(t *testing.T) {
	tests := map[string]*bench.Route{
		"rate":   {Duration: time.Second},
		"fault":  {Rate: 1, Duration: time.Second, Faults: []string{"flood"}},
		"policy": {Rate: 1, Duration: time.Second, Policy: "best"},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := r.Run(context.Background())
			qt.Assert(t, err, qt.ErrorIs, problem.Usage)
		})
	}
}
