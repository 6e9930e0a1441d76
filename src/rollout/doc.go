// Package rollout moves a service's requests from one version of its backend servers to another and
// decides whether the new version may stay.
//
// All types are cores: they do no I/O, and time comes in with each call. The time passed must count
// suspension of the VM (see clock.Pauses), since permits and deadlines go on while a VM is
// suspended. None of them is safe for concurrent use.
package rollout
