package link

import (
	"context"
	"io"
	"net/netip"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Peer is the member that a link leads to.
type Peer struct {
	ID   uint64 // the link is refused when another member answers
	Addr netip.AddrPort
}

// Outcome is the answer to a call: a Reply or a Refused.
type Outcome interface{ isOutcome() }

// Reply is an answer whose body is still to be read.
type Reply struct {
	Head wire.ReplyHead
	Body io.ReadCloser // io.ErrUnexpectedEOF when the answer was cut; Close drops the rest
}

// Refused is a call that ended without an answer.
type Refused struct{ Refusal wire.Refusal }

func (Reply) isOutcome()   {}
func (Refused) isOutcome() {}

// Caller opens calls to members; the context cancels a call until its Reply's Body is closed.
//
// The request body may still be in a Read when the outcome is returned, so it must stay readable, or fail, after it.
type Caller interface {
	// Call sends a request and waits for the head of its answer; body is nil when there is none.
	Call(ctx context.Context, to Peer, head wire.CallHead, body io.Reader) Outcome
}

// Exchanger sends one control message and waits for its answer.
type Exchanger interface {
	// Exchange sends a payload of a kind; an error is of kind problem.Unavailable, problem.Busy or problem.Protocol.
	Exchange(ctx context.Context, to Peer, kind MessageKind, payload []byte) ([]byte, error)
}

// MessageKind tells what a control message carries.
type MessageKind uint8

// The kinds of control message.
const (
	KindPush         MessageKind = 1 // wire.Push, empty answer
	KindPull         MessageKind = 2 // wire.Pull, answered by wire.PullReply
	KindRosterDigest MessageKind = 3 // bucket digests, answered by the members that differ
	KindStatus       MessageKind = 4 // empty, answered by the daemon's status
	KindDeposit      MessageKind = 5 // kept for claims
	KindRegistry     MessageKind = 6 // wire.RegistryRequest, answered by wire.RegistryReply
)

// InboundCall is a call that has arrived from another daemon.
type InboundCall interface {
	// Head returns the call's head.
	Head() wire.CallHead
	// Body returns the request body; it is at its end when there is none.
	Body() io.Reader
	// Reply sends the head of the answer and returns where its body is written; Close ends a whole answer.
	Reply(h wire.ReplyHead) (io.WriteCloser, error)
	// Refuse ends the call without an answer, also after Reply, when the answer is cut.
	Refuse(r wire.Refusal)
}

// CallHandler serves the calls that arrive.
//
// The context ends when the caller cancels, when the link is lost, and with the cause context.DeadlineExceeded when no Reply has begun within the call's timeout.
type CallHandler interface {
	ServeCall(ctx context.Context, in InboundCall)
}

// MessageHandler serves the control messages that arrive.
type MessageHandler interface {
	ServeMessage(ctx context.Context, from Peer, kind MessageKind, payload []byte) ([]byte, error)
}
