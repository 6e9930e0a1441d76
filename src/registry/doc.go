// Package registry discovers members and configuration through a key-value store with leases and prefix watches.
//
// An agent runs beside one backend server and is a member. Its entry, a key under a lease, holds its wire.Member. An incarnation is one start of a backend server, given by instance ID and start time; a tombstone records that incarnations have left. Some agents, the readers, watch the store, and the others watch a reader. An agent queries others, its peers, while neither the store nor a reader answers.
//
// Follower and Announcer call the store; Core and BackendState hold the logic and do no I/O.
package registry
