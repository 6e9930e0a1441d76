package bench

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFitLine(t *testing.T) {
	tests := map[string]struct {
		xs, ys []float64
		x, y   float64
	}{
		"exact":          {xs: []float64{1, 2, 4}, ys: []float64{3, 5, 9}, x: 10, y: 21},
		"one point":      {xs: []float64{7}, ys: []float64{3}, x: 100, y: 3},
		"scatter":        {xs: []float64{0, 0, 2, 2}, ys: []float64{1, 3, 5, 7}, x: 1, y: 4},
		"nothing at all": {x: 5, y: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, fitLine(tc.xs, tc.ys).at(tc.x), qt.Equals, tc.y)
		})
	}
}
