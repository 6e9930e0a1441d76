package dispatch

import (
	"time"

	"github.com/yuccaport/yuccaport/src/wire"
)

// Load is the load of a backend server as reported with an answer or a refusal.
type Load struct {
	Free        int           `json:"free,omitempty"`          // slots, negative when calls are queued
	Slots       int           `json:"slots,omitempty"`         // 0 if no load was reported
	Backlog     time.Duration `json:"backlog_ns,omitempty"`    // time until a further call would get a slot
	ServiceTime time.Duration `json:"service_ns,omitempty"`    // mean time that a call runs at usual speed, 0 if unknown
	LinkDelay   time.Duration `json:"link_delay_ns,omitempty"` // time for which long answers use the network connection of the backend server's VM
	Speed       int           `json:"speed,omitempty"`         // how long work takes on that VM in percent of the usual time, 0 if unknown
}

func newLoad(l wire.Load, linkDelayMS int64, speedPercent int32) Load {
	return Load{
		Free: int(l.Free), Slots: int(l.Slots), Backlog: time.Duration(l.Backlog) * time.Millisecond, ServiceTime: time.Duration(l.Service) * time.Millisecond,
		LinkDelay: time.Duration(linkDelayMS) * time.Millisecond, Speed: int(speedPercent),
	}
}
