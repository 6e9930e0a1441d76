package link

import (
	"context"
	"io"
	"net/netip"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Peer identifies the member at the other end of a link.
type Peer struct {
	ID   uint64         // when dialling, 0 accepts any member; any other ID refuses a link to another member
	Addr netip.AddrPort // address on which the member accepts links; zero for an inbound peer without a TCP listener
}

// Outcome is the result of a call: a Reply or a Refused.
type Outcome interface{ isOutcome() }

// Reply is an answer whose head has arrived. The receiver must close its Body.
type Reply struct {
	Head wire.ReplyHead
	Body io.ReadCloser // its Read fails with io.ErrUnexpectedEOF if the answer is truncated, and with the error of the context or of a Read of the request body if that ends or fails before the answer is complete; Close discards the rest
}

// Refused is a call that ended without an answer.
type Refused struct{ Refusal wire.Refusal }

func (Reply) isOutcome()   {}
func (Refused) isOutcome() {}

// Caller sends calls to members. The context cancels a call until the Body of its Reply is closed.
//
// A Read of the request body may still be in progress when Call returns. After that, the body must remain readable or its reads must fail.
type Caller interface {
	// Call sends a request and waits for the head of its answer. head.BodyLength is the length of body, or -1 if unknown; with 0 or a nil body there is no request body.
	//
	// If ctx ends before the head of the answer has arrived, Call cancels the call and returns a Refused with wire.ReasonTimeout or wire.ReasonCancelled, whose MayHaveRun is false only if there was no link yet. If a Read of body fails before then, Call cancels the call and returns a Refused with wire.ReasonCancelled and MayHaveRun true.
	Call(ctx context.Context, to Peer, head wire.CallHead, body io.Reader) Outcome
}

// Exchanger sends one control message and waits for its answer.
type Exchanger interface {
	// Exchange sends a message of the given kind and returns the answer. An error is of one of these kinds:
	//   - problem.Busy: the peer refused the message, or the limit on links is reached.
	//   - problem.Unavailable: there is no link, the message failed at the peer, or no answer came, in which case the peer may have handled the message.
	//   - problem.Protocol: the payload exceeds 8 MiB, or the handshake failed because the peer violated the link protocol or has another version of it.
	// If the peer violates the protocol while the message is in progress, the error is of kind problem.Unavailable and also matches problem.Protocol.
	Exchange(ctx context.Context, to Peer, kind MessageKind, payload []byte) ([]byte, error)
}

// MessageKind identifies the content of a control message.
type MessageKind uint8

// The kinds of control message.
const (
	KindPush         MessageKind = 1 // wire.Push, answered with an empty payload
	KindPull         MessageKind = 2 // wire.Pull, answered with wire.PullReply
	KindRosterDigest MessageKind = 3 // wire.RosterRequest, such as bucket digests, answered with wire.RosterReply, such as the members in buckets that differ
	KindStatus       MessageKind = 4 // wire.StatusRequest, answered with wire.StatusReply
	KindDeposit      MessageKind = 5 // reserved for claims
	KindRegistry     MessageKind = 6 // wire.RegistryRequest, answered with wire.RegistryReply
	KindQuarantine   MessageKind = 7 // wire.QuarantineReport, answered with another one
	KindRollout      MessageKind = 8 // wire.RolloutReport, answered with wire.RolloutReply
	KindTenant       MessageKind = 9 // wire.TenantReport, answered with wire.TenantGrants
)

// InboundCall is a call received from another daemon. It must not be used after ServeCall has returned.
type InboundCall interface {
	// Head returns the call's head.
	Head() wire.CallHead
	// Peer returns the member that has sent the call, which may be this one.
	Peer() Peer
	// Body returns the request body, which is empty if the call has none. If the body is incomplete, its Read fails with io.ErrUnexpectedEOF once the caller cancels or the link is lost, and with context.DeadlineExceeded if no Reply has begun within the call's timeout.
	// After Refuse, or once the writer of the answer is closed, a Read may wait until ServeCall has returned, so ServeCall must not wait for it.
	Body() io.Reader
	// Reply sends the head of the answer and returns the writer of its body. Closing the writer marks the answer as complete.
	// It waits while the peer reads too slowly, and fails if the call or the link has ended or the head is too large. It must be called at most once.
	// The head of an answer with a BodyLength from 0 to 4 KiB may be held back until the first Write or Close.
	Reply(h wire.ReplyHead) (io.WriteCloser, error)
	// Refuse ends the call without an answer. After Reply it truncates the answer.
	Refuse(r wire.Refusal)
	// Doubt tells the caller's daemon that the backend server seems to have ended the call without an answer, so that it may try another one; this call goes on. It returns false if the daemon is of an older build, which cannot be told. It does not block.
	Doubt() bool
}

// CallHandler serves inbound calls.
//
// ServeCall runs in a goroutine of its own. A call that is neither refused nor completely answered when it returns is refused with wire.ReasonCut as possibly run.
//
// The context is cancelled when the caller cancels the call or the link is lost. It is cancelled with the cause context.DeadlineExceeded when no Reply has begun within the call's timeout.
type CallHandler interface {
	ServeCall(ctx context.Context, in InboundCall)
}

// MessageHandler serves inbound control messages.
//
// An error of kind problem.Busy reaches the sender as problem.Busy, any other error as problem.Unavailable, both with their text. An answer may have up to 8 MiB. The context is cancelled when the link ends, not when the sender stops waiting.
type MessageHandler interface {
	ServeMessage(ctx context.Context, from Peer, kind MessageKind, payload []byte) ([]byte, error)
}
