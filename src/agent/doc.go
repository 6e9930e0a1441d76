// Package agent implements a sidecar proxy for platforms where backend servers report their state by heartbeats and a shared store holds configuration and members.
package agent
