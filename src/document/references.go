package document

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// CheckAll checks the references between documents, which are given by service name. Errors are of kind problem.Document and include all that were found.
func CheckAll(docs map[string]*Document) error {
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		d := docs[name]
		collector := &errorCollector{file: d.file, keys: d.keys}
		d.checkReferences(collector, docs)
		errs = append(errs, collector.errs...)
	}
	errs = append(errs, checkSharedHosts(docs)...)
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

// checkSharedHosts rejects routes of two services that match the same requests.
func checkSharedHosts(docs map[string]*Document) []error {
	type owner struct {
		service string
		route   *Route
	}
	owners := map[string][]owner{} // by host followed by prefix
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		d := docs[name]
		collector := &errorCollector{file: d.file, keys: d.keys}
		for _, host := range d.Hosts {
			for i := range d.Routes {
				r := &d.Routes[i]
				for _, other := range owners[host+r.Prefix] {
					if other.service != name && other.route.overlaps(r) {
						collector.add(fmt.Sprintf("route[%d].prefix", i), fmt.Sprintf("%q on host %q is already taken by service %q", r.Prefix, host, other.service), "use another host or prefix, or agree with the other team")
					}
				}
				owners[host+r.Prefix] = append(owners[host+r.Prefix], owner{name, r})
			}
		}
		errs = append(errs, collector.errs...)
	}
	return errs
}

// checkFallbackLoops rejects services that are fallbacks of each other in a loop.
func checkFallbackLoops(docs map[string]*Document) []error {
	edges := map[string][]fallbackEdge{}
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		for i, r := range docs[name].Routes {
			if r.Fallback == "" {
				continue
			}
			for _, t := range r.Targets {
				edges[t.Service] = append(edges[t.Service], fallbackEdge{to: r.Fallback, document: name, route: i})
			}
		}
	}
	finder := loopFinder{edges: edges, state: map[string]int{}}
	for _, name := range slices.Sorted(maps.Keys(edges)) {
		finder.visit(name)
	}
	var errs []error
	for _, loop := range finder.loops {
		d := docs[loop.edge.document]
		collector := &errorCollector{file: d.file, keys: d.keys}
		collector.add(fmt.Sprintf("route[%d].fallback", loop.edge.route), "fallbacks form a loop: "+strings.Join(loop.path, " to "), "remove one fallback of the loop")
		errs = append(errs, collector.errs...)
	}
	return errs
}
