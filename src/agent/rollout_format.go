package agent

import "github.com/yuccaport/yuccaport/src/rollout"

// RolloutFormat is the form in which the operator's side writes orders of rollouts and reads their
// status.
type RolloutFormat struct {
	StatusPrefix string // of the keys of the status, followed by the service
	DecodeOrder  func(service string, value []byte) (rollout.Order, error)
	EncodeStatus func(state, targetVersion string) []byte
}
