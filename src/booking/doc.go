// Package booking implements admission control for the backend server beside a daemon: it bounds concurrency, queues or refuses calls, checks health and carries out the exchanges with the backend server.
package booking
