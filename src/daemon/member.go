package daemon

import (
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Member returns this daemon as the roster announces it.
func (d *Daemon) Member() wire.Member { return d.node.Member() }

// Status returns what this daemon says of itself.
func (d *Daemon) Status() wire.MemberStatus {
	m := d.Member()
	refused, why := d.distributor.RefusedVersion()
	healthy, _ := d.distributor.StoreHealthy()
	return wire.MemberStatus{
		ID: m.ID, Service: m.Service, Domain: m.Domain, Region: m.Region, Proxy: m.Proxy,
		Version: d.Version(), Refused: refused, RefusedWhy: why,
		Ready: d.Ready(), Leaving: d.leaving.Load(), Reader: d.distributor.IsReader(), StoreDown: !healthy,
		InFlight: d.booking.InFlight(), MemberCount: len(d.node.View().Members),
	}
}

// parent looks up the call that a backend server was running when it made one of its own.
func (d *Daemon) parent(token string) (dispatch.Parent, bool) {
	p, ok := d.booking.Parent(token)
	return dispatch.Parent{TraceID: p.TraceID, Depth: p.Depth, RetryLayer: p.RetryLayer, Deadline: p.Deadline, Done: p.Cancelled}, ok
}

// keys returns the TLS keys of the links, nil when the settings name none.
func (d *Daemon) keys() *link.Keys {
	k := d.Settings.Keys
	if k.Cert == "" {
		return nil
	}
	return &link.Keys{CertFile: k.Cert, KeyFile: k.Key, CAFile: k.CA}
}
