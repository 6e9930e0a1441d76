// Package registry discovers members and configuration through a key-value store with leases and prefix watches.
//
// Follower and Announcer call the store; Core and BackendState hold the logic and do no I/O.
package registry
