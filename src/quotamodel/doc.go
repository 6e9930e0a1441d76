// Package quotamodel runs the quota cores of many agents on a simulated clock, with partitions,
// kills, freezes and changed limits.
package quotamodel
