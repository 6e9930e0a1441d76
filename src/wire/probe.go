package wire

//go:generate go tool -modfile=../../tools/go.mod msgp -tests=false -io=false

//msgp:limit arrays:512 maps:0
//msgp:tuple Probe Brief

// MaxProbeSize is the largest datagram of the roster, in bytes.
const MaxProbeSize = 1200

// ProbeKind tells what a datagram of the roster asks for.
type ProbeKind uint8

// The kinds of datagram.
const (
	ProbePing     ProbeKind = iota + 1 // answered by ProbeAck
	ProbeAck                           // answers ProbePing
	ProbeIndirect                      // asks the receiver to ping Target
	ProbeRelayed                       // Target has answered the ping that was asked for
	ProbeGossip                        // carries news, not answered
	ProbeJoin                          // asks an address for other members
	ProbeWelcome                       // answers ProbeJoin
)

// Probe is one datagram of the roster.
type Probe struct {
	Kind        ProbeKind `msg:"kind"`
	Seq         uint16    `msg:"seq"` // of the ping, repeated in its answer
	From        uint64    `msg:"from"`
	To          uint32    `msg:"to"` // low half of the ID meant, 0 for whoever has the address
	Incarnation uint32    `msg:"incarnation"`
	Mark        Mark      `msg:"mark"`
	Version     uint64    `msg:"version"` // configuration version in force at the sender
	Digest      uint32    `msg:"digest"`  // low half of the sender's roster digest
	Target      uint64    `msg:"target"`  // of an indirect ping, else 0
	Briefs      []Brief   `msg:"briefs"`
	Members     []Member  `msg:"members"`
	Padding     []byte    `msg:"padding"` // makes a join as large as the answer it may get
}

// Brief is news of a member whose addresses the receiver knows.
type Brief struct {
	ID          uint64 `msg:"id"`
	Incarnation uint32 `msg:"incarnation"`
	Mark        Mark   `msg:"mark"`
}

// Mark packs a member's state and readiness into one byte.
type Mark uint8

const markReady Mark = 1 << 7

// NewMark packs a state and readiness.
func NewMark(s MemberState, ready bool) Mark {
	m := Mark(s)
	if ready {
		m |= markReady
	}
	return m
}

// State returns the packed state.
func (m Mark) State() MemberState { return MemberState(m &^ markReady) }

// Ready returns the packed readiness.
func (m Mark) Ready() bool { return m&markReady != 0 }

// Brief returns the member's news without its addresses.
func (z *Member) Brief() Brief {
	return Brief{ID: z.ID, Incarnation: z.Incarnation, Mark: NewMark(z.State, z.Ready)}
}
