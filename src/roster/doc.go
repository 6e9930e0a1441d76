// Package roster is cluster membership and failure detection (SWIM): it keeps the list of members that are alive, leaving or dead.
package roster
