// Package report tells from the logs of agents where calls were lost: by route and time, with what
// their servers did meanwhile.
package report
