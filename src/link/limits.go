package link

import "time"

const (
	maxFrame      = 128 << 10 // bytes of one frame after its length
	chunkSize     = 16 << 10  // bytes of a body in one frame
	inlineBody    = 4 << 10   // bytes of a body that travel with the heads
	initialWindow = 4 << 10   // bytes a body may have under way before its receiver has given any credit
	firstWindow   = 48 << 10  // bytes that a long body may have under way before any is read: with the chunk that its sender reads ahead it stays within the 64 kB that dispatch can send again
	maxWindow     = 256 << 10 // bytes a body may have under way at most
	maxUrgent     = 1 << 20   // bytes of heads and control frames queued; beyond it the link is closed
	busyUrgent    = 256 << 10 // bytes of heads and control frames queued; beyond it new ones wait or are refused
	batchSize     = 64 << 10  // bytes handed to the socket at once
	readBuffer    = 4 << 10   // bytes; most frames are heads and short bodies
	maxMessage    = 8 << 20   // bytes of one control message
	maxMessages   = 64        // control messages served at once

	writeTimeout = 10 * time.Second
	silentLimit  = 3 // ping periods without a byte before a link in use is taken for dead
	backoffMin   = 50 * time.Millisecond
	backoffMax   = 5 * time.Second
)

// Limits bounds what the links of a Pool hold.
type Limits struct {
	Links            int           // links dialled, and links accepted
	Handshakes       int           // dials, and accepted links whose hello is awaited, at once
	Calls            int           // inbound calls over all links
	CallsPerLink     int           // inbound calls on one link
	Memory           int           // bytes that windows may grow by over all calls, and that partial messages hold
	IdleTimeout      time.Duration // time without calls after which a dialled link is closed
	HandshakeTimeout time.Duration // longest wait for a link to be made
	PingInterval     time.Duration // time without a byte after which a link in use is pinged
	Bandwidth        float64       // bytes a second that the VM's own link carries, 0 for one that needs no care
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.Links, 2048)
	setDefault(&l.Handshakes, 64)
	setDefault(&l.Calls, 1024)
	setDefault(&l.CallsPerLink, 256)
	setDefault(&l.Memory, 32<<20)
	setDefault(&l.IdleTimeout, time.Minute)
	setDefault(&l.HandshakeTimeout, 5*time.Second)
	setDefault(&l.PingInterval, 2*time.Second)
	return l
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}
