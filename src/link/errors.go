package link

import (
	"errors"

	"github.com/yuccaport/yuccaport/src/problem"
)

const errWrongMember = problem.Kind("wrong member")

var (
	errOversize  = errors.New("head does not fit into a frame")
	errAbandoned = errors.New("call was given up")
	errEnded     = errors.New("call has ended")
	errSilent    = errors.New("no byte came from the other end in time")
	errIdle      = errors.New("link was idle")
	errKilled    = errors.New("links were closed at once")
	errStopped   = errors.New("daemon is stopping")
	errLeft      = errors.New("other end is leaving")
)

func protocolError(place, what string) error {
	return problem.New(problem.Protocol, place, what, "check that both ends run versions of this project that speak the same link protocol")
}
