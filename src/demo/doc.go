// Package demo runs a small mesh on loopback under callers, an edit, a drain and a crash, and checks that the promises held.
package demo
