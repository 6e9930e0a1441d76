package document

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Upper bounds of the values in a document.
const (
	MaxDrainGrace    = 5 * time.Second
	MaxQueue         = 10000 // calls
	MaxQueueWait     = 10 * time.Second
	MaxDeadline      = 10 * time.Minute // also of timeout and hedge.after
	MaxAttempts      = 4
	MaxWeight        = 1000
	MaxRoutes        = 100
	MaxHosts         = 32
	MaxInFlightLimit = 100000 // calls, for max_in_flight
)

var (
	serviceNamePattern = regexp.MustCompile(`^[a-z]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hostNamePattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	methodPattern      = regexp.MustCompile(`^[A-Z]{1,16}$`)
)

// check validates the document by itself and adds the errors to the collector; CheckAll compares documents.
func (d *Document) check(collector *errorCollector) {
	if !serviceNamePattern.MatchString(d.Service) {
		collector.add("service", fmt.Sprintf("%q is not a service name", d.Service), "use lower case letters, digits and hyphens, a letter first")
		return // hosts and targets default to the name and would be reported too
	}
	d.checkHosts(collector)
	checkDuration(collector, "drain_grace", d.DrainGrace, 0, MaxDrainGrace)
	checkInt(collector, "limits.queue", d.Limits.Queue, 0, MaxQueue)
	checkDuration(collector, "limits.queue_wait", d.Limits.QueueWait, 0, MaxQueueWait)
	if len(d.Routes) > MaxRoutes {
		collector.add("route", fmt.Sprintf("%d routes", len(d.Routes)), fmt.Sprintf("write at most %d routes", MaxRoutes))
	}
	names := map[string]bool{}
	for i := range d.Routes {
		r := &d.Routes[i]
		keyPath := fmt.Sprintf("route[%d]", i)
		if names[r.Name] {
			collector.add(keyPath+".name", fmt.Sprintf("%q names two routes", r.Name), "give each route its own name")
		}
		names[r.Name] = true
		r.check(collector, keyPath)
		for j := range d.Routes[:i] {
			if r.overlaps(&d.Routes[j]) {
				collector.add(keyPath+".prefix", fmt.Sprintf("%q is also the prefix of route %q with the same methods", r.Prefix, d.Routes[j].Name), "merge the two routes or tell them apart by methods")
			}
		}
	}
}

func (d *Document) checkHosts(collector *errorCollector) {
	if len(d.Hosts) == 0 || len(d.Hosts) > MaxHosts {
		collector.add("hosts", fmt.Sprintf("%d hosts", len(d.Hosts)), fmt.Sprintf("write 1 to %d host names, or leave the key out to use the service name", MaxHosts))
	}
	for i, host := range d.Hosts {
		keyPath := fmt.Sprintf("hosts[%d]", i)
		if !hostNamePattern.MatchString(host) {
			collector.add(keyPath, fmt.Sprintf("%q is not a host name", host), "write it in lower case, without scheme, port or path")
		}
		if slices.Contains(d.Hosts[:i], host) {
			collector.add(keyPath, fmt.Sprintf("%q is written twice", host), "remove one of them")
		}
	}
}

func (r *Route) check(collector *errorCollector, keyPath string) {
	if !strings.HasPrefix(r.Prefix, "/") || strings.ContainsAny(r.Prefix, "?# \t\r\n") {
		collector.add(keyPath+".prefix", fmt.Sprintf("%q is not a path prefix", r.Prefix), "begin it with / and leave out query and spaces")
	}
	for i, method := range r.Methods {
		if !methodPattern.MatchString(method) {
			collector.add(fmt.Sprintf("%s.methods[%d]", keyPath, i), fmt.Sprintf("%q is not an HTTP method", method), "write methods in upper case, such as GET")
		}
	}
	r.checkTargets(collector, keyPath)
	checkDuration(collector, keyPath+".timeout", r.Timeout, time.Millisecond, MaxDeadline)
	checkDuration(collector, keyPath+".deadline", r.Deadline, time.Millisecond, MaxDeadline)
	if r.Timeout > r.Deadline {
		collector.add(keyPath+".timeout", fmt.Sprintf("%s is longer than the deadline %s", r.Timeout.Std(), r.Deadline.Std()), "shorten timeout or raise deadline")
	}
	checkInt(collector, keyPath+".retry.attempts", r.Retry.Attempts, 1, MaxAttempts)
	checkInt(collector, keyPath+".max_in_flight", r.MaxInFlight, 0, MaxInFlightLimit)
	checkOneOf(collector, keyPath+".priority", r.Priority, PriorityHigh, PriorityNormal, PriorityLow)
	checkOneOf(collector, keyPath+".locality", r.Locality, LocalityPrefer, LocalityStrict, LocalityAny)
	r.checkIdempotencyAndHedge(collector, keyPath)
}

func (r *Route) checkTargets(collector *errorCollector, keyPath string) {
	totalWeight := 0
	for i, t := range r.Targets {
		targetPath := fmt.Sprintf("%s.targets[%d]", keyPath, i)
		if !serviceNamePattern.MatchString(t.Service) {
			collector.add(targetPath+".service", fmt.Sprintf("%q is not a service name", t.Service), "name the service that takes this share")
		}
		if slices.ContainsFunc(r.Targets[:i], func(o Target) bool { return o.Service == t.Service }) {
			collector.add(targetPath+".service", fmt.Sprintf("%q is a target twice", t.Service), "give each target once, with its whole weight")
		}
		if t.Service == r.Fallback {
			collector.add(keyPath+".fallback", fmt.Sprintf("%q is also a target", r.Fallback), "name another service as fallback or leave it out")
		}
		checkInt(collector, targetPath+".weight", t.Weight, 0, MaxWeight)
		totalWeight += t.Weight
	}
	if totalWeight == 0 {
		collector.add(keyPath+".targets", "all weights are 0", "give at least one target a weight above 0")
	}
}

// checkIdempotencyAndHedge rejects settings under which a request that must run at most once could run twice: idempotent = true on a deposit route, and a hedge on a route that is marked as a deposit or as not idempotent. It also checks the hedge delay. On a route without the idempotent key, only requests with an idempotent method are hedged.
func (r *Route) checkIdempotencyAndHedge(collector *errorCollector, keyPath string) {
	if r.Deposit && r.Idempotent != nil && *r.Idempotent {
		collector.add(keyPath+".idempotent", "true on a deposit route", "leave idempotent out or set deposit = false")
	}
	checkDuration(collector, keyPath+".hedge.after", r.Hedge.After, 0, MaxDeadline)
	if r.Hedge.After == 0 {
		return
	}
	if r.Deposit || (r.Idempotent != nil && !*r.Idempotent) {
		collector.add(keyPath+".hedge.after", "a hedge on a route that is not idempotent", "leave the hedge out: a second attempt could run the request twice")
	}
	if r.Hedge.After >= r.Timeout {
		collector.add(keyPath+".hedge.after", fmt.Sprintf("%s is not before the timeout %s", r.Hedge.After.Std(), r.Timeout.Std()), "hedge earlier or leave the hedge out")
	}
}

// overlaps reports whether some request matches both routes with equal precedence. A route that lists methods precedes one for all methods, so these two do not overlap.
func (r *Route) overlaps(other *Route) bool {
	if r.Prefix != other.Prefix {
		return false
	}
	if len(r.Methods) == 0 || len(other.Methods) == 0 {
		return len(r.Methods) == len(other.Methods)
	}
	return slices.ContainsFunc(r.Methods, func(m string) bool { return slices.Contains(other.Methods, m) })
}

func checkDuration(collector *errorCollector, keyPath string, v Duration, minimum, maximum time.Duration) {
	if v.Std() < minimum || v.Std() > maximum {
		collector.add(keyPath, fmt.Sprintf("%s is out of bounds", v.Std()), fmt.Sprintf("write a duration from %s to %s", minimum, maximum))
	}
}

func checkInt(collector *errorCollector, keyPath string, v, minimum, maximum int) {
	if v < minimum || v > maximum {
		collector.add(keyPath, fmt.Sprintf("%d is out of bounds", v), fmt.Sprintf("write a number from %d to %d", minimum, maximum))
	}
}

func checkOneOf[S ~string](collector *errorCollector, keyPath string, v S, allowed ...S) {
	if !slices.Contains(allowed, v) {
		collector.add(keyPath, fmt.Sprintf("%q is not known", string(v)), fmt.Sprintf("use one of %q", allowed))
	}
}
