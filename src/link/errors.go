package link

import (
	"errors"

	"github.com/yuccaport/yuccaport/src/problem"
)

const errWrongMember = problem.Kind("wrong member")

var (
	errHeadTooLarge  = errors.New("head does not fit into one frame")
	errCallCancelled = errors.New("call was cancelled")
	errCallEnded     = errors.New("call has ended")
	errPeerSilent    = errors.New("no data received from the peer in time")
	errLinkIdle      = errors.New("link was idle")
	errPoolKilled    = errors.New("all links were closed without draining")
	errPoolStopped   = errors.New("daemon is stopping")
	errLinkDrained   = errors.New("peer accepts no new calls on this link")
)

func protocolError(place, message string) error {
	return problem.New(problem.Protocol, place, message, "check that both ends run versions of this project with the same link protocol")
}
