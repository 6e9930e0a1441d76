package quotamodel

import (
	"fmt"
	"math"

	"github.com/yuccaport/yuccaport/src/tenants"
)

// PowerLaw returns n tenants whose limits fall with their rank to the power of -exponent, from rate
// and an equal burst down. Their names sort by rank.
func PowerLaw(n int, rate, exponent float64) map[string]tenants.Limit {
	limits := map[string]tenants.Limit{}
	for i := range n {
		r := rate * math.Pow(float64(i+1), -exponent)
		limits[Name(i)] = tenants.Limit{RatePerSecond: r, Burst: r}
	}
	return limits
}

// Name returns the name of the tenant with a rank from 0.
func Name(rank int) string { return fmt.Sprintf("tenant-%03d", rank) }
