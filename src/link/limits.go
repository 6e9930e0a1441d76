package link

import "time"

const (
	maxFrameSize          = 128 << 10 // bytes of one frame after its length
	chunkSize             = 16 << 10  // bytes of a body in one frame
	maxUrgentPayload      = 4 << 10   // bytes; a part of a body, a message frame or an answer up to this size is queued as urgent
	initialWindow         = 4 << 10   // bytes of a body that may be in flight before its receiver has granted credit
	longBodyWindow        = 48 << 10  // bytes of a long body that may be in flight before any is read; with the chunk that its sender reads ahead, this stays within the 64 kB that dispatch can send again
	maxWindow             = 256 << 10 // bytes of a body that may be in flight at most
	maxUrgentBytes        = 1 << 20   // bytes of queued urgent frames above which the link is closed
	urgentHighWater       = 256 << 10 // bytes of queued urgent frames above which new heads wait or are refused, and short body parts and message frames are queued as bulk data
	batchSize             = 64 << 10  // bytes; size of a batch from which no further bulk frame is added to it, and the largest buffer kept for reuse
	readBufferSize        = 4 << 10   // bytes; most frames are heads and short bodies
	maxMessageSize        = 8 << 20   // bytes of one control message
	maxRefusedMessages    = 4096      // messages refused on one link whose last fragment is still to come
	maxConcurrentMessages = 64        // inbound control messages in progress on one link; also the number of message workers of a Pool and the length of their queue

	writeTimeout     = 10 * time.Second
	closeTimeout     = 100 * time.Millisecond // longest wait, at an orderly close, for the peer to read what is written and to close its end
	maxSilentPeriods = 3                      // consecutive ping intervals without a received byte on a link in use, after which its calls are doubted
	maxDoubtedTime   = 2 * time.Minute        // without a received byte, after which a link is closed whatever it carries; as long as a call may take whose body is arriving
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 5 * time.Second
)

// Limits bounds the resources that the links of a Pool use. Zero fields other than Bandwidth take their defaults.
type Limits struct {
	Links            int           // dialled links and, separately, accepted links
	Handshakes       int           // concurrent dials and, separately, accepted links without a hello yet
	Calls            int           // inbound calls over all links
	CallsPerLink     int           // inbound calls on one link
	Memory           int           // bytes for the growth of all windows beyond their initial size and for inbound messages until they have been served
	IdleTimeout      time.Duration // time without calls or messages after which a dialled link is closed; an accepted link is closed after five times as long
	HandshakeTimeout time.Duration // longest time for a dial, and separately for the TLS handshake and hellos of a dialled or accepted link
	PingInterval     time.Duration // time without a received byte after which a link in use is pinged
	Bandwidth        float64       // bytes per second of this VM's network connection, 0 to not limit the bodies in flight
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
