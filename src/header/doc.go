// Package header names the header fields that callers, daemons and backend servers exchange.
package header
