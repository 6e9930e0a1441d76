package document

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// CheckAll checks documents, given by service name, against each other: targets and fallbacks have a document, routes of two services on a host do not overlap, and fallbacks form no loop.
//
// Each document must come from Parse. Errors are of kind problem.Document; all that are found are joined.
func CheckAll(docs map[string]*Document) error {
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		d := docs[name]
		collector := &errorCollector{file: d.file, keys: d.keys}
		d.checkReferences(collector, docs)
		errs = append(errs, collector.errs...)
	}
	errs = append(errs, checkRouteConflicts(docs)...)
	errs = append(errs, checkFallbackLoops(docs)...)
	return errors.Join(errs...)
}

// checkReferences rejects targets and fallbacks that have no document.
func (d *Document) checkReferences(collector *errorCollector, docs map[string]*Document) {
	const remedy = "apply that service's document first or name another service"
	for i, r := range d.Routes {
		for j, t := range r.Targets {
			if docs[t.Service] == nil {
				collector.add(fmt.Sprintf("route[%d].targets[%d].service", i, j), fmt.Sprintf("service %q has no document", t.Service), remedy)
			}
		}
		if r.Fallback != "" && docs[r.Fallback] == nil {
			collector.add(fmt.Sprintf("route[%d].fallback", i), fmt.Sprintf("service %q has no document", r.Fallback), remedy)
		}
	}
}

// checkRouteConflicts rejects routes of two services that have a host in common and overlap. The error is reported for the later service in alphabetical order.
func checkRouteConflicts(docs map[string]*Document) []error {
	type hostRoute struct {
		service string
		route   *Route
	}
	hostRoutes := map[string][]hostRoute{} // by host followed by prefix
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		d := docs[name]
		collector := &errorCollector{file: d.file, keys: d.keys}
		for _, host := range d.Hosts {
			for i := range d.Routes {
				r := &d.Routes[i]
				for _, other := range hostRoutes[host+r.Prefix] {
					if other.service != name && other.route.overlaps(r) {
						collector.add(fmt.Sprintf("route[%d].prefix", i), fmt.Sprintf("%q on host %q is already taken by service %q", r.Prefix, host, other.service), "use another host or prefix, or agree with the other team")
					}
				}
				hostRoutes[host+r.Prefix] = append(hostRoutes[host+r.Prefix], hostRoute{name, r})
			}
		}
		errs = append(errs, collector.errs...)
	}
	return errs
}

// checkFallbackLoops rejects services that are fallbacks of each other in a loop. Each target of a route leads to the route's fallback.
func checkFallbackLoops(docs map[string]*Document) []error {
	edges := map[string][]fallbackEdge{}
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		for i, r := range docs[name].Routes {
			if r.Fallback == "" {
				continue
			}
			for _, t := range r.Targets {
				edges[t.Service] = append(edges[t.Service], fallbackEdge{to: r.Fallback, owner: name, route: i})
			}
		}
	}
	finder := loopFinder{edges: edges, state: map[string]int{}}
	for _, name := range slices.Sorted(maps.Keys(edges)) {
		finder.visit(name)
	}
	var errs []error
	for _, loop := range finder.loops {
		d := docs[loop.edge.owner]
		collector := &errorCollector{file: d.file, keys: d.keys}
		collector.add(fmt.Sprintf("route[%d].fallback", loop.edge.route), "fallbacks form a loop: "+strings.Join(loop.services, " to "), "remove one fallback of the loop")
		errs = append(errs, collector.errs...)
	}
	return errs
}
