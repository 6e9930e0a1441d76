// Package quarantine keeps requests away from backend servers that crash each time they run them.
//
// The daemon beside a backend server sees which requests ran when it crashed; the daemons tell each
// other. A request is known by its content, since each repeat has an ID of its own.
package quarantine
