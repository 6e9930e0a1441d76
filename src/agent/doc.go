// Package agent is the daemon for sites whose platform announces backend servers by heartbeats and keeps configuration and members in one store.
package agent
