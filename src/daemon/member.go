package daemon

import (
	"github.com/yuccaport/yuccaport/src/dispatch"
	"github.com/yuccaport/yuccaport/src/link"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Member returns this daemon's entry as announced in the roster.
func (d *Daemon) Member() wire.Member { return d.rosterNode.Member() }

// Status returns the status that this daemon reports at /status and to other daemons.
func (d *Daemon) Status() wire.MemberStatus {
	m := d.Member()
	refused, reason := d.distributor.RefusedVersion()
	healthy, _ := d.distributor.StoreHealthy()
	return wire.MemberStatus{
		ID: m.ID, Service: m.Service, Domain: m.Domain, Region: m.Region, Proxy: m.Proxy,
		Version: d.Version(), Refused: refused, RefusedWhy: reason,
		Ready: d.Ready(), Leaving: d.leaving.Load(), Reader: d.distributor.IsWatching(), StoreDown: !healthy,
		InFlight: d.booking.InFlight(), MemberCount: len(d.rosterNode.View().Members),
	}
}

// lookupParent returns the call in flight at the backend server for which token was issued, and false if there is none. The backend server sends the token with the calls that it makes while it serves that call.
func (d *Daemon) lookupParent(token string) (dispatch.Parent, bool) {
	p, ok := d.booking.Parent(token)
	return dispatch.Parent{TraceID: p.TraceID, Depth: p.Depth, MayRetryAfterRun: p.RetryLayer, Deadline: p.Deadline, Done: p.Cancelled}, ok
}

// linkKeys returns the TLS files of the links, nil if the settings name none.
func (d *Daemon) linkKeys() *link.Keys {
	k := d.Settings.Keys
	if k.Cert == "" {
		return nil
	}
	return &link.Keys{CertFile: k.Cert, KeyFile: k.Key, CAFile: k.CA}
}
