package relay

import (
	"context"

	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/pack"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// askVersion is the version that a Pull names when only the peer's version is asked for.
const askVersion = ^uint64(0)

// pullAnswer is the core's answer to a peer's pull.
type pullAnswer struct{ reply wire.PullReply }

// servePush hands a push to the core and is done: the sender waits for the arrival, not for the version to be in force.
func (c *Distributor) servePush(from link.Peer, payload []byte) error {
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
	case c.inputs <- input{event: e, update: &u, peer: from}:
		return nil
	default:
		return busy()
	}
}

func (c *Distributor) servePull(ctx context.Context, from link.Peer, payload []byte) ([]byte, error) {
	var p wire.Pull
	if _, err := p.UnmarshalMsg(payload); err != nil {
		return nil, problem.Wrap(problem.Protocol, err, from.Addr.String(), "a pull cannot be read", "run the same release on all daemons")
	}
	reply := make(chan pullAnswer, 1)
	select {
	case c.inputs <- input{event: PullRequested{From: from.ID, HeldVersion: p.Have}, reply: reply}:
	default:
		return nil, busy()
	}
	select {
	case a := <-reply:
		b, err := a.reply.MarshalMsg(nil)
		return pack.Pack(b), err
	case <-ctx.Done():
		return nil, busy()
	}
}

func busy() error {
	return problem.New(problem.Busy, "relay", "too many messages wait", "ask another member")
}
