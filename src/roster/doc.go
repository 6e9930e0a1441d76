// Package roster keeps the list of members: who is alive, who is leaving and who has died.
package roster
