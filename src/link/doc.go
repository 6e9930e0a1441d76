// Package link carries calls and control messages between two daemons over one multiplexed TCP connection.
package link
