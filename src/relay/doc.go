// Package relay implements configuration dissemination: it carries each accepted version from the store to every daemon.
//
// A few readers per failure domain each hold a lease and watch the store. They push new versions down a tree of daemons;
// a daemon that a push has missed pulls from a peer (anti-entropy).
//
// Core is a state machine without I/O; Distributor runs it. The head is the store's record of the newest accepted version.
// An update is a full copy or a delta from a base version.
//
// A starting daemon holds the newest version that it has received in full, and the Open action brings it into force. From then on, a newer version
// is held only if OnSnapshot accepts it, and is in force at once.
//
// Rendezvous hashing orders the members of a failure domain; the first ReadersPerDomain of them are its readers by rank, and each
// requests one of as many leases, numbered by slot. The readers after the first are standbys: they fetch a new version later, and
// only if no push has brought it.
package relay
