package tenants

import "time"

const (
	minReportInterval = 300 * time.Millisecond
	maxReportInterval = 1200 * time.Millisecond
	reportSpacing     = 2500 * time.Microsecond // between reports at a granter with more than 120 agents
	leaseReports      = 2.5                     // intervals within a lease: a delegation counts from the answer before the report that renews it
	isolationTime     = 10 * time.Second        // for which members that are gone still count, since they may use their part of the limits
	shrinkTime        = 60 * time.Second        // see memberCount
	clockMargin       = 50 * time.Millisecond   // by which a granter ends delegations early and keeps credit late
)

// reportInterval returns the time between two reports of an agent while nothing is urgent.
func reportInterval(members int) time.Duration {
	return min(max(time.Duration(members)*reportSpacing, minReportInterval), maxReportInterval)
}

// leaseTime returns the time for which credit and delegations are valid.
func leaseTime(members int) time.Duration {
	return time.Duration(leaseReports * float64(reportInterval(members)))
}

// guardTime returns the time after the end of a delegation at which the earlier granter can no
// longer have lent out the agent's part: each other agent has been told to return it, or its
// credit has expired.
func guardTime(members int) time.Duration { return leaseTime(members) + 2*clockMargin }
