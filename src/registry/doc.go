// Package registry discovers members and configuration through a key-value store with leases and prefix watches.
//
// An agent runs beside one backend server and is a member. Its entry, a key under a lease, holds its wire.Member. An incarnation is one run of a backend server, given by instance ID and start time (it is unrelated to wire.Member.Incarnation); a tombstone records which incarnations have announced that they are leaving, so that a restarted agent does not take them for ready. Most agents do not watch the store but another agent, their reader; a reader normally watches the store itself. An agent queries others, its peers, while neither the store nor a reader answers.
//
// Follower and Announcer call the store; Core and BackendState hold the logic and do no I/O.
package registry
