package problem_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/problem"
)

func TestErrorNamesPlaceFaultAndRemedy(t *testing.T) {
	cause := errors.New("connection refused")
	tests := map[string]struct {
		err  error
		kind problem.Kind
		want string
	}{
		"new":  {problem.New(problem.Settings, "a.toml:3", "slots is 0", "set it to 1 or more"), problem.Settings, "settings: a.toml:3: slots is 0; set it to 1 or more"},
		"wrap": {problem.Wrap(problem.Unavailable, cause, "", "get head", "check [store] addr"), problem.Unavailable, "store unavailable: get head: connection refused; check [store] addr"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(tc.err, qt.ErrorIs, tc.kind)
			c.Check(tc.err.Error(), qt.Equals, tc.want)
		})
	}
}
