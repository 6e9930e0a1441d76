package demo_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/demo"
)

func TestDemoHoldsItsPromises(t *testing.T) {
	c := qt.New(t)
	d := &demo.Demo{Duration: 2 * time.Second, Callers: 8, Seed: 1}
	r, err := d.Run(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(r.Held(), qt.IsNil, qt.Commentf("%+v", r))
}

func TestReportNamesABrokenPromise(t *testing.T) {
	good := demo.Report{Calls: 10, AppliedVersion: 3, Proxies: 10, ProxiesInForce: 10}
	tests := map[string]func(*demo.Report){
		"doubled":         func(r *demo.Report) { r.Doubled = 1 },
		"crossed":         func(r *demo.Report) { r.Crossed = 1 },
		"truncated":       func(r *demo.Report) { r.Truncated = 1 },
		"not run but ran": func(r *demo.Report) { r.NotRunButRan = 1 },
		"a laggard":       func(r *demo.Report) { r.ProxiesInForce = 9 },
		"nothing applied": func(r *demo.Report) { r.AppliedVersion = 0 },
		"every call lost": func(r *demo.Report) { r.Failed = 10 },
	}
	qt.Assert(t, good.Held(), qt.IsNil)
	for name, breakIt := range tests {
		t.Run(name, func(t *testing.T) {
			r := good
			breakIt(&r)
			qt.Assert(t, r.Held(), qt.ErrorMatches, "promise broken: demo: .*")
		})
	}
}
