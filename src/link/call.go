package link

import (
	"context"
	"io"
	"net/netip"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Peer identifies the member at the other end of a link.
type Peer struct {
	ID   uint64 // 0 for any member; otherwise a link to another member is refused
	Addr netip.AddrPort
}

// Outcome is the result of a call: a Reply or a Refused.
type Outcome interface{ isOutcome() }

// Reply is an answer whose head has arrived. The receiver must close its Body.
type Reply struct {
	Head wire.ReplyHead
	Body io.ReadCloser // its Read fails with io.ErrUnexpectedEOF if the answer is truncated; Close discards the rest
}

// Refused is a call that ended without an answer.
type Refused struct{ Refusal wire.Refusal }

func (Reply) isOutcome()   {}
func (Refused) isOutcome() {}

// Caller sends calls to members. The context cancels a call until the Body of its Reply is closed.
//
// A Read of the request body may still be in progress when Call returns. After that, the body must remain readable or its reads must fail.
type Caller interface {
	// Call sends a request and waits for the head of its answer. A nil body means no request body.
	Call(ctx context.Context, to Peer, head wire.CallHead, body io.Reader) Outcome
}

// Exchanger sends one control message and waits for its answer.
type Exchanger interface {
	// Exchange sends a message of the given kind and returns the answer. An error is of kind problem.Unavailable, problem.Busy or problem.Protocol.
	Exchange(ctx context.Context, to Peer, kind MessageKind, payload []byte) ([]byte, error)
}

// MessageKind identifies the content of a control message.
type MessageKind uint8

// The kinds of control message.
const (
	KindPush         MessageKind = 1 // wire.Push, answered with an empty payload
	KindPull         MessageKind = 2 // wire.Pull, answered with wire.PullReply
	KindRosterDigest MessageKind = 3 // digests of buckets of members, answered with the members that differ
	KindStatus       MessageKind = 4 // empty, answered with the daemon's status
	KindDeposit      MessageKind = 5 // reserved for claims
	KindRegistry     MessageKind = 6 // wire.RegistryRequest, answered with wire.RegistryReply
)

// InboundCall is a call received from another daemon.
type InboundCall interface {
	// Head returns the call's head.
	Head() wire.CallHead
	// Body returns the request body, which is empty if the call has none.
	Body() io.Reader
	// Reply sends the head of the answer and returns the writer of its body. Closing the writer marks the answer as complete.
	Reply(h wire.ReplyHead) (io.WriteCloser, error)
	// Refuse ends the call without an answer. After Reply it truncates the answer.
	Refuse(r wire.Refusal)
}

// CallHandler serves inbound calls.
//
// The context is cancelled when the caller cancels the call or the link is lost. It is cancelled with the cause context.DeadlineExceeded when no Reply has begun within the call's timeout.
type CallHandler interface {
	ServeCall(ctx context.Context, in InboundCall)
}

// MessageHandler serves inbound control messages.
type MessageHandler interface {
	ServeMessage(ctx context.Context, from Peer, kind MessageKind, payload []byte) ([]byte, error)
}
