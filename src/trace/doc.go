// Package trace reads, writes and replays recorded events of the decision cores.
//
// A trace is a file of JSON lines: one Header, then one Entry for each event with the outcome that is stated for it.
package trace
