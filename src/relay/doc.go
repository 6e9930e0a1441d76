// Package relay implements configuration dissemination: it carries each accepted version from the store to every daemon.
//
// A few readers per failure domain hold a lease and watch the store. They push new versions down a tree of daemons;
// a daemon that a push has missed pulls from a peer (anti-entropy).
package relay
