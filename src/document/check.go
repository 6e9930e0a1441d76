package document

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// The bounds of a document's values.
const (
	MaxDrainGrace    = 5 * time.Second
	MaxQueue         = 10000 // calls
	MaxQueueWait     = 10 * time.Second
	MaxDeadline      = 10 * time.Minute
	MaxAttempts      = 4
	MaxWeight        = 1000
	MaxRoutes        = 100
	MaxHosts         = 32
	MaxInFlightLimit = 100000 // calls
)

var (
	serviceName = regexp.MustCompile(`^[a-z]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hostName    = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	methodName  = regexp.MustCompile(`^[A-Z]{1,16}$`)
)

// check notes the faults that can be seen in the document alone.
func (d *Document) check(f *faults) {
	if !serviceName.MatchString(d.Service) {
		f.add("service", fmt.Sprintf("%q is not a service name", d.Service), "use lower case letters, digits and hyphens, a letter first")
		return // the defaults of other keys hang on the name
	}
	d.checkHosts(f)
	checkDuration(f, "drain_grace", d.DrainGrace, 0, MaxDrainGrace)
	checkInt(f, "limits.queue", d.Limits.Queue, 0, MaxQueue)
	checkDuration(f, "limits.queue_wait", d.Limits.QueueWait, 0, MaxQueueWait)
	if len(d.Routes) > MaxRoutes {
		f.add("route", fmt.Sprintf("%d routes", len(d.Routes)), fmt.Sprintf("write at most %d routes", MaxRoutes))
	}
	names := map[string]bool{}
	for i := range d.Routes {
		r := &d.Routes[i]
		path := fmt.Sprintf("route[%d]", i)
		if names[r.Name] {
			f.add(path+".name", fmt.Sprintf("%q names two routes", r.Name), "give each route its own name")
		}
		names[r.Name] = true
		r.check(f, path)
		for j := range d.Routes[:i] {
			if r.overlaps(&d.Routes[j]) {
				f.add(path+".prefix", fmt.Sprintf("%q is also the prefix of route %q with the same methods", r.Prefix, d.Routes[j].Name), "merge the two routes or tell them apart by methods")
			}
		}
	}
}

func (d *Document) checkHosts(f *faults) {
	if len(d.Hosts) == 0 || len(d.Hosts) > MaxHosts {
		f.add("hosts", fmt.Sprintf("%d hosts", len(d.Hosts)), fmt.Sprintf("write 1 to %d host names, or leave the key out to use the service name", MaxHosts))
	}
	for i, h := range d.Hosts {
		key := fmt.Sprintf("hosts[%d]", i)
		if !hostName.MatchString(h) {
			f.add(key, fmt.Sprintf("%q is not a host name", h), "write it in lower case, without scheme, port or path")
		}
		if slices.Contains(d.Hosts[:i], h) {
			f.add(key, fmt.Sprintf("%q is written twice", h), "remove one of them")
		}
	}
}

func (r *Route) check(f *faults, path string) {
	if !strings.HasPrefix(r.Prefix, "/") || strings.ContainsAny(r.Prefix, "?# \t\r\n") {
		f.add(path+".prefix", fmt.Sprintf("%q is not a path prefix", r.Prefix), "begin it with / and leave out query and spaces")
	}
	for i, m := range r.Methods {
		if !methodName.MatchString(m) {
			f.add(fmt.Sprintf("%s.methods[%d]", path, i), fmt.Sprintf("%q is not an HTTP method", m), "write methods in upper case, such as GET")
		}
	}
	r.checkTargets(f, path)
	checkDuration(f, path+".timeout", r.Timeout, time.Millisecond, MaxDeadline)
	checkDuration(f, path+".deadline", r.Deadline, time.Millisecond, MaxDeadline)
	if r.Timeout > r.Deadline {
		f.add(path+".timeout", fmt.Sprintf("%s is longer than the deadline %s", r.Timeout.Std(), r.Deadline.Std()), "shorten timeout or raise deadline")
	}
	checkInt(f, path+".retry.attempts", r.Retry.Attempts, 1, MaxAttempts)
	checkInt(f, path+".max_in_flight", r.MaxInFlight, 0, MaxInFlightLimit)
	checkOneOf(f, path+".priority", r.Priority, PriorityHigh, PriorityNormal, PriorityLow)
	checkOneOf(f, path+".locality", r.Locality, LocalityPrefer, LocalityStrict, LocalityAny)
	r.checkRepeats(f, path)
}

func (r *Route) checkTargets(f *faults, path string) {
	sum := 0
	for i, t := range r.Targets {
		key := fmt.Sprintf("%s.targets[%d]", path, i)
		if !serviceName.MatchString(t.Service) {
			f.add(key+".service", fmt.Sprintf("%q is not a service name", t.Service), "name the service that takes this share")
		}
		if slices.ContainsFunc(r.Targets[:i], func(o Target) bool { return o.Service == t.Service }) {
			f.add(key+".service", fmt.Sprintf("%q is a target twice", t.Service), "give each target once, with its whole weight")
		}
		if t.Service == r.Fallback {
			f.add(path+".fallback", fmt.Sprintf("%q is also a target", r.Fallback), "name another service as fallback or leave it out")
		}
		checkInt(f, key+".weight", t.Weight, 0, MaxWeight)
		sum += t.Weight
	}
	if sum == 0 {
		f.add(path+".targets", "all weights are 0", "give at least one target a weight above 0")
	}
}

// checkRepeats refuses settings under which a payment could run twice.
func (r *Route) checkRepeats(f *faults, path string) {
	if r.Deposit && r.Idempotent != nil && *r.Idempotent {
		f.add(path+".idempotent", "true on a deposit route", "leave idempotent out or set deposit = false")
	}
	checkDuration(f, path+".hedge.after", r.Hedge.After, 0, MaxDeadline)
	if r.Hedge.After == 0 {
		return
	}
	if r.Deposit || (r.Idempotent != nil && !*r.Idempotent) {
		f.add(path+".hedge.after", "a hedge on a route that is not idempotent", "leave the hedge out: a second attempt could run the request twice")
	}
	if r.Hedge.After >= r.Timeout {
		f.add(path+".hedge.after", fmt.Sprintf("%s is not before the timeout %s", r.Hedge.After.Std(), r.Timeout.Std()), "hedge earlier or leave the hedge out")
	}
}

// overlaps tells whether some request would match both routes alike.
func (r *Route) overlaps(o *Route) bool {
	if r.Prefix != o.Prefix {
		return false
	}
	if len(r.Methods) == 0 || len(o.Methods) == 0 {
		return len(r.Methods) == len(o.Methods)
	}
	return slices.ContainsFunc(r.Methods, func(m string) bool { return slices.Contains(o.Methods, m) })
}

func checkDuration(f *faults, key string, v Duration, low, high time.Duration) {
	if v.Std() < low || v.Std() > high {
		f.add(key, fmt.Sprintf("%s is out of bounds", v.Std()), fmt.Sprintf("write a duration from %s to %s", low, high))
	}
}

func checkInt(f *faults, key string, v, low, high int) {
	if v < low || v > high {
		f.add(key, fmt.Sprintf("%d is out of bounds", v), fmt.Sprintf("write a number from %d to %d", low, high))
	}
}

func checkOneOf[S ~string](f *faults, key string, v S, allowed ...S) {
	if !slices.Contains(allowed, v) {
		f.add(key, fmt.Sprintf("%q is not known", string(v)), fmt.Sprintf("use one of %q", allowed))
	}
}
