// Package deposit implements idempotency keys: within its expiry, a non-idempotent request with a key runs at most once.
// Such a request is also called a payment.
//
// A holder, which is a daemon, writes a claim to the store before it sends the request. It records the outcome in the
// claim, and repeats of the request are answered from it. A slot is the store key that holds all claims whose digests share
// a prefix. Core is the state machine without I/O; Guard runs it on a store.
package deposit
