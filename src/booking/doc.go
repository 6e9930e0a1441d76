// Package booking admits calls to the backend server beside a daemon and runs them there.
package booking
