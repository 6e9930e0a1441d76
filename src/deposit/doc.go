// Package deposit sees to it that a non-idempotent request with an idempotency key runs at most once.
//
// A claim in the store comes before the request; the outcome is recorded in the same place and replayed to repeats.
package deposit
