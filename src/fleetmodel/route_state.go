package fleetmodel

import "github.com/yuccaport/yuccaport/src/dispatch"

// route is a Route with its policy and results.
type route struct {
	Route
	policy *dispatch.Policy
	result Result
}
