package wire

import "net/netip"

//go:generate go tool -modfile=../../tools/go.mod msgp -tests=false -io=false

//msgp:shim netip.AddrPort as:string using:addrPortToString/addrPortFromString witherr:true
//msgp:limit arrays:65536 maps:64
//msgp:tuple HelloFrame OpenFrame DataFrame EndFrame ReplyFrame RefuseFrame WindowFrame CancelFrame PingFrame PongFrame MessageFrame AnswerFrame GoawayFrame DoubtFrame

// LinkProtocol is the version of the frames on a link; both ends must speak the same.
const LinkProtocol = 1

// FrameKind is the byte after a frame's length that tells its type.
type FrameKind uint8

// The frame kinds.
const (
	FrameHello FrameKind = iota + 1
	FrameOpen
	FrameData
	FrameEnd
	FrameReply
	FrameRefuse
	FrameWindow
	FrameCancel
	FramePing
	FramePong
	FrameMessage
	FrameAnswer
	FrameGoaway
	FrameDoubt
)

// HelloFrame is the first frame in each direction.
type HelloFrame struct {
	Protocol uint16
	Self     uint64
	Expect   uint64         // member that the sender means to reach, 0 for any
	Addr     netip.AddrPort // where the sender takes links
}

// OpenFrame opens a call; ids only grow on a link.
type OpenFrame struct {
	Call uint64
	Head CallHead
}

// DataFrame carries a piece of a body in either direction.
type DataFrame struct {
	Call  uint64
	Bytes []byte `msg:",zerocopy"`
}

// EndFrame marks a body as whole.
type EndFrame struct {
	Call uint64
}

// ReplyFrame opens the answer to a call.
type ReplyFrame struct {
	Call uint64
	Head ReplyHead
}

// RefuseFrame ends a call without a whole answer.
type RefuseFrame struct {
	Call    uint64
	Refusal Refusal
}

// WindowFrame lets the other end send more bytes of a body.
type WindowFrame struct {
	Call uint64
	Add  uint32 // bytes
}

// CancelFrame tells that the caller has given the call up.
type CancelFrame struct {
	Call uint64
}

// PingFrame asks whether the other end is there.
type PingFrame struct {
	Nonce uint64
}

// PongFrame answers a ping.
type PongFrame struct {
	Nonce uint64
}

// MessageFrame carries a piece of a control message.
type MessageFrame struct {
	ID      uint64
	Kind    uint8
	Last    bool
	Payload []byte `msg:",zerocopy"`
}

// AnswerFailure tells why a control message was not answered.
type AnswerFailure uint8

// The failures of a control message.
const (
	AnswerOK AnswerFailure = iota
	AnswerBusy
	AnswerFailed
)

// AnswerFrame carries a piece of the answer to a control message, or the text of its failure.
type AnswerFrame struct {
	ID      uint64
	Failure AnswerFailure
	Last    bool
	Payload []byte `msg:",zerocopy"`
}

// GoawayFrame tells that calls with ids above Last are not taken.
type GoawayFrame struct {
	Last uint64
}

// DoubtFrame tells that the backend server seems to have ended a call without an answer, for which
// the accepting end still waits. It is sent only if CallHead.TakesDoubt is set.
type DoubtFrame struct {
	Call uint64
}
