// Package kv is the interface to the key-value service that keeps what must last.
package kv
