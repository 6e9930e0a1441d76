// Package speed keeps how long work takes on a machine whose speed changes, as its backend server
// reports it, and predicts it from figures that are old.
package speed
