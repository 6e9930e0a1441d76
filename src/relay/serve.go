package relay

import (
	"context"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/pack"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// versionQuery is the held version in a wire.Pull that asks for the peer's version only: no version is higher, so no update is sent.
const versionQuery = ^uint64(0)

// pullAnswer is the core's answer to a pull request.
type pullAnswer struct{ reply wire.PullReply }

// servePush queues a push for the core and returns: the sender waits until the push is received, not until its version is in force.
func (d *Distributor) servePush(from link.Peer, payload []byte) error {
	var p wire.Push
	payload, err := pack.Unpack(payload)
	if err != nil {
		return err
	}
	if _, err := p.UnmarshalMsg(payload); err != nil {
		return problem.Wrap(problem.Protocol, err, from.Addr.String(), "a push cannot be read", "run the same release on all daemons")
	}
	u := p.Update
	e := PushReceived{From: from.ID, Base: u.From, Version: u.Version, Subtree: p.Subtree}
	select {
	case d.inputs <- input{event: e, update: &u, peer: from}:
		return nil
	default:
		return busyError()
	}
}

func (d *Distributor) servePull(ctx context.Context, from link.Peer, payload []byte) ([]byte, error) {
	var p wire.Pull
	if _, err := p.UnmarshalMsg(payload); err != nil {
		return nil, problem.Wrap(problem.Protocol, err, from.Addr.String(), "a pull cannot be read", "run the same release on all daemons")
	}
	reply := make(chan pullAnswer, 1)
	select {
	case d.inputs <- input{event: PullRequested{From: from.ID, HeldVersion: p.Have}, reply: reply}:
	default:
		return nil, busyError()
	}
	select {
	case a := <-reply:
		b, err := a.reply.MarshalMsg(nil)
		return pack.Pack(b), err
	case <-ctx.Done():
		return nil, busyError()
	}
}

// busyError answers a message when the input queue is full, or a pull that the loop did not answer in time.
func busyError() error {
	return problem.New(problem.Busy, "relay", "too many messages wait", "ask another member")
}
