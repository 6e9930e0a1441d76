package quotamodel

import (
	"testing"
	"time"
)

func TestDbg(t *testing.T) {
	const d = 10 * time.Second
	f := newFleet(80, d, nil, nil)
	f.Run(d)
	for _, i := range []int{0, 1, 2, 3, 5, 8, 12, 16, 20, 30, 40, 60, 81} {
		t.Log(i, f.Limits[Name(i)].RatePerSecond, "asked", f.Tallies[Name(i)].Asked, "pend", f.Pend[Name(i)], "low", f.Low[Name(i)])
	}
	p, l := 0, 0
	for i := range tenantCount {
		p += f.Pend[Name(i)]
		l += f.Low[Name(i)]
	}
	t.Log("pending/s/agent", float64(p)/800, "low", float64(l)/800)
}
