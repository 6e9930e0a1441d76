package dispatch

import (
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/rollout"
	"github.com/yuccaport/yuccaport/src/wire"
)

// versionClass is the set of servers that an attempt may go to, by the version of their software.
type versionClass uint8

const (
	anyVersion versionClass = iota // the service is under no order
	oldVersion
	newVersion
)

// serviceRollout is the core's state of a service under an order.
type serviceRollout struct {
	routing rollout.Routing
	limiter rollout.Limiter
	canary  rollout.CanarySet
}

// routingChanged takes in the routing of a service; the zero routing ends its order.
func (c *Core) routingChanged(e RoutingChanged) {
	ro := c.rollouts[e.Service]
	if ro == nil {
		ro = &serviceRollout{limiter: rollout.Limiter{ExposureShare: c.Settings.ExposureShare}}
		if c.rollouts == nil {
			c.rollouts = map[string]*serviceRollout{}
		}
		c.rollouts[e.Service] = ro
	}
	ro.routing = e.Routing
	c.applyRollout(e.Service)
	if e.Routing.Order == 0 {
		delete(c.rollouts, e.Service)
	}
}

// applyRollout marks the servers of the new version of a service and chooses those that get
// requests before all are
// shifted.
func (c *Core) applyRollout(serviceName string) {
	svc, ro := c.services[serviceName], c.rollouts[serviceName]
	if svc == nil || ro == nil {
		return
	}
	servers := make([]rollout.Server, 0, len(svc.servers))
	for _, srv := range svc.servers {
		srv.isNew = ro.routing.IsNew(srv.Version)
		servers = append(servers, rollout.Server{ID: srv.ID, Domain: srv.Domain, Version: srv.Version, Slots: srv.Slots, Ready: srv.isUsable()})
	}
	ro.canary = rollout.CanarySet{}
	if ro.routing.UsesCanarySet() {
		ro.canary = ro.routing.CanarySet(c.Settings.ExposureShare, servers)
	}
}

// selectVersion decides to which version a call's next attempt to a service goes, before a server is
// chosen. A call to a service under no order may go to any server.
func (c *Core) selectVersion(now time.Time, cs *callState, serviceName string) {
	cs.version, cs.rollout = anyVersion, 0
	ro := c.rollouts[serviceName]
	if ro == nil || c.services[serviceName] == nil { // the last table may lack the service of a retry
		return
	}
	cs.rollout = ro.routing.Order
	toNew := c.wantsNew(now, cs, ro)
	isFirst := len(cs.attempts) == 0
	switch {
	case toNew && ro.routing.AllowsOld() && !c.hasAvailableNew(now, serviceName, cs):
		c.returnExposure(cs)
		toNew = false
	case !toNew && isFirst && ro.routing.AllowsNew() && !c.hasOld(serviceName):
		toNew = true
	}
	cs.version = oldVersion
	if toNew {
		cs.version = newVersion
	}
}

// wantsNew reports whether the next attempt is to go to the new version by the limiter or, after a
// refusal by a server's gate, by what that server knows: an old server that refuses follows a later
// record, in which all calls go to the new version.
func (c *Core) wantsNew(now time.Time, cs *callState, ro *serviceRollout) bool {
	isNew := false
	switch {
	case len(cs.attempts) == 0:
		isNew = ro.limiter.Next(now, cs.policy.Route, ro.routing)
		cs.counted, cs.countedOrder = ro, ro.routing.Order
	case cs.attempts[len(cs.attempts)-1].wrongVersion:
		return !ro.routing.AllowsOld() || !cs.attempts[len(cs.attempts)-1].server.isNew && ro.routing.AllowsNew()
	default:
		isNew = ro.limiter.MayRetryNew(now, cs.policy.Route, ro.routing)
	}
	cs.exposes = nil
	if isNew {
		cs.exposes = ro
	}
	return isNew
}

// returnExposure takes back that a limiter has counted the call's last attempt for the new version.
func (c *Core) returnExposure(cs *callState) {
	if cs.exposes != nil && cs.exposes.routing.Order == cs.rollout {
		cs.exposes.limiter.Return(cs.policy.Route)
	}
	cs.exposes = nil
}

// dropRequest takes back that a limiter has counted a call that ends without having run: what is
// refused everywhere does not reach the service.
func (c *Core) dropRequest(cs *callState) {
	c.returnExposure(cs)
	if cs.counted != nil && cs.counted.routing.Order == cs.countedOrder {
		cs.counted.limiter.Dropped(cs.policy.Route)
	}
	cs.counted = nil
}

// allowsVersion reports whether a server is of the version that the call's next attempt goes to.
func (c *Core) allowsVersion(srv *server, cs *callState) bool {
	switch cs.version {
	case oldVersion:
		return !srv.isNew
	case newVersion:
		ro := c.rollouts[srv.Service]
		return srv.isNew && (ro == nil || !ro.routing.UsesCanarySet() || ro.canary.Contains(srv.ID))
	}
	return true
}

// hasAvailableNew reports whether a server of the new version can be expected to take the call.
func (c *Core) hasAvailableNew(now time.Time, serviceName string, cs *callState) bool {
	cs.version = newVersion
	return slices.ContainsFunc(c.services[serviceName].servers, func(srv *server) bool {
		return c.allowsVersion(srv, cs) && srv.isUsable() && !srv.isEjected(now) && !srv.isUnreachable(now) && !cs.hasTried(srv)
	})
}

func (c *Core) hasOld(serviceName string) bool {
	return slices.ContainsFunc(c.services[serviceName].servers, func(srv *server) bool { return !srv.isNew && srv.isEligible() })
}

// recordVersionRefusal records that an attempt was refused as not run: it exposed no request to the
// new version.
func (c *Core) recordVersionRefusal(cs *callState, a *attemptState, reason wire.RefusalReason) {
	a.wrongVersion = reason == wire.ReasonVersion
	if a.server.isNew {
		c.returnExposure(cs)
	}
}
