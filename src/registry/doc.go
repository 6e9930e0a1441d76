// Package registry discovers members and configuration through a key-value store with leases and prefix watches.
//
// Follower and Announcer talk to the store; Core and Local decide and do no I/O.
package registry
