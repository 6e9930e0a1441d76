// Package agent is the proxy daemon for platforms where backend servers report their state by heartbeats and a shared store holds configuration and members.
package agent
