// Package bench runs real daemons against stand-ins on loopback, and measures them.
package bench
