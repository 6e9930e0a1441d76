package document

import (
	"fmt"
	"time"
)

// Numeric defaults of keys that a document omits; setDefaults sets the others.
const (
	DefaultDrainGrace = 2 * time.Second
	DefaultQueue      = 64 // calls
	DefaultQueueWait  = 500 * time.Millisecond
	DefaultTimeout    = 2 * time.Second
	DefaultDeadline   = 5 * time.Second
	DefaultAttempts   = 2
	DefaultWeight     = 1
)

// setDefaults sets the keys that the file omits, and also empty lists of routes or targets and empty route names. Other values in the file, including zeros, are left for check.
func (d *Document) setDefaults() {
	if !d.keys.has("hosts") {
		d.Hosts = []string{d.Service}
	}
	if !d.keys.has("drain_grace") {
		d.DrainGrace = Duration(DefaultDrainGrace)
	}
	if !d.keys.has("limits.queue") {
		d.Limits.Queue = DefaultQueue
	}
	if !d.keys.has("limits.queue_wait") {
		d.Limits.QueueWait = Duration(DefaultQueueWait)
	}
	if len(d.Routes) == 0 {
		d.Routes = []Route{{}}
	}
	for i := range d.Routes {
		d.Routes[i].setDefaults(d.keys, fmt.Sprintf("route[%d]", i), d.Service)
	}
}

func (r *Route) setDefaults(keys keyIndex, keyPath, service string) {
	if !keys.has(keyPath + ".prefix") {
		r.Prefix = "/"
	}
	if r.Name == "" {
		r.Name = r.Prefix
	}
	if len(r.Targets) == 0 {
		r.Targets = []Target{{Service: service, Weight: DefaultWeight}}
	}
	for j := range r.Targets {
		r.Targets[j].setDefaults(keys, fmt.Sprintf("%s.targets[%d]", keyPath, j))
	}
	r.setTimeoutDefaults(keys.has(keyPath+".timeout"), keys.has(keyPath+".deadline"))
	if !keys.has(keyPath + ".priority") {
		r.Priority = PriorityNormal
	}
	if !keys.has(keyPath + ".retry.attempts") {
		r.Retry.Attempts = DefaultAttempts
	}
	if !keys.has(keyPath + ".locality") {
		r.Locality = LocalityPrefer
	}
}

// setTimeoutDefaults sets Timeout and Deadline where the file omits them, so that a default does not make Timeout longer than Deadline.
func (r *Route) setTimeoutDefaults(hasTimeout, hasDeadline bool) {
	if !hasTimeout {
		r.Timeout = Duration(DefaultTimeout)
	}
	if !hasDeadline {
		r.Deadline = max(Duration(DefaultDeadline), r.Timeout)
	}
	if !hasTimeout {
		r.Timeout = min(r.Timeout, r.Deadline)
	}
}

func (t *Target) setDefaults(keys keyIndex, keyPath string) {
	// The default target has its weight already, but no key in the file.
	if t.Weight == 0 && !keys.has(keyPath+".weight") {
		t.Weight = DefaultWeight
	}
}
