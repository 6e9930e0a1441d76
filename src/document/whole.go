package document

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// CheckAll checks the references between all documents, by service; errors of kind problem.Document list every fault found.
func CheckAll(docs map[string]*Document) error {
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		d := docs[name]
		f := &faults{file: d.file, keys: d.keys}
		d.checkReferences(f, docs)
		errs = append(errs, f.errs...)
	}
	errs = append(errs, checkSharedHosts(docs)...)
	errs = append(errs, checkFallbackLoops(docs)...)
	return errors.Join(errs...)
}

func (d *Document) checkReferences(f *faults, docs map[string]*Document) {
	const remedy = "apply that service's document first or name another service"
	for i, r := range d.Routes {
		for j, t := range r.Targets {
			if docs[t.Service] == nil {
				f.add(fmt.Sprintf("route[%d].targets[%d].service", i, j), fmt.Sprintf("service %q has no document", t.Service), remedy)
			}
		}
		if r.Fallback != "" && docs[r.Fallback] == nil {
			f.add(fmt.Sprintf("route[%d].fallback", i), fmt.Sprintf("service %q has no document", r.Fallback), remedy)
		}
	}
}

// checkSharedHosts refuses routes of two services that match the same requests.
func checkSharedHosts(docs map[string]*Document) []error {
	type owner struct {
		service string
		route   *Route
	}
	seen := map[string][]owner{} // by host and prefix
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		d := docs[name]
		f := &faults{file: d.file, keys: d.keys}
		for _, h := range d.Hosts {
			for i := range d.Routes {
				r := &d.Routes[i]
				for _, o := range seen[h+r.Prefix] {
					if o.service != name && o.route.overlaps(r) {
						f.add(fmt.Sprintf("route[%d].prefix", i), fmt.Sprintf("%q on host %q is already taken by service %q", r.Prefix, h, o.service), "use another host or prefix, or agree with the other team")
					}
				}
				seen[h+r.Prefix] = append(seen[h+r.Prefix], owner{name, r})
			}
		}
		errs = append(errs, f.errs...)
	}
	return errs
}

// checkFallbackLoops refuses services that stand in for each other in a circle.
func checkFallbackLoops(docs map[string]*Document) []error {
	next := map[string][]fallback{}
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		for i, r := range docs[name].Routes {
			if r.Fallback == "" {
				continue
			}
			for _, t := range r.Targets {
				next[t.Service] = append(next[t.Service], fallback{to: r.Fallback, document: name, route: i})
			}
		}
	}
	s := loopSearch{next: next, state: map[string]int{}}
	for _, name := range slices.Sorted(maps.Keys(next)) {
		s.visit(name)
	}
	var errs []error
	for _, l := range s.loops {
		d := docs[l.edge.document]
		f := &faults{file: d.file, keys: d.keys}
		f.add(fmt.Sprintf("route[%d].fallback", l.edge.route), "fallbacks form a loop: "+strings.Join(l.path, " to "), "remove one fallback of the loop")
		errs = append(errs, f.errs...)
	}
	return errs
}
