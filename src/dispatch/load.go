package dispatch

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Load is what an answer told of its backend server's free capacity.
type Load struct {
	Free        int           `json:"free,omitempty"`  // slots, negative when calls are queued
	Slots       int           `json:"slots,omitempty"` // 0 when the answer told nothing
	Backlog     time.Duration `json:"backlog_ns,omitempty"`
	ServiceTime time.Duration `json:"service_ns,omitempty"` // that a call runs on average, 0 while that is unknown
}

func newLoad(l wire.Load) Load {
	return Load{Free: int(l.Free), Slots: int(l.Slots), Backlog: time.Duration(l.Backlog) * time.Millisecond, ServiceTime: time.Duration(l.Service) * time.Millisecond}
}
