// Package header names the header fields that callers, daemons and backend servers exchange, and reads
// the heads of answers.
package header
