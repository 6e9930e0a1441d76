// Package booking implements admission control for a backend server: it bounds concurrency, queues or sheds calls, checks health and carries out the exchanges with the backend server.
package booking
