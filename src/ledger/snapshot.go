package ledger

import (
	"fmt"
	"maps"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// VersionGap marks an update that does not follow from the version it is applied to.
const VersionGap problem.Kind = "version gap"

const maxRemoved = 64 // services

// Snapshot is one whole accepted configuration; it is never changed once built.
type Snapshot struct {
	Version   uint64
	Digest    uint64                        // over the names and digests of all documents
	Documents map[string]*document.Document // by service
	Bodies    map[string]wire.Body          // by service

	removed  map[string]uint64   // version that removed a service, as far as known
	replaced map[string]replaced // documents before the present ones
}

// NewSnapshot parses and checks a whole configuration; errors are of kind problem.Document.
func NewSnapshot(version uint64, bodies map[string]wire.Body) (*Snapshot, error) {
	s := &Snapshot{Version: version, Documents: make(map[string]*document.Document, len(bodies)), Bodies: make(map[string]wire.Body, len(bodies)), removed: map[string]uint64{}}
	for _, b := range bodies {
		if err := s.add(b); err != nil {
			return nil, err
		}
	}
	return s.finish()
}

// Apply returns the snapshot that an update leads to, or an error and no part of it.
//
// Errors are of kind problem.Backward, VersionGap, problem.Protocol or problem.Document; a nil Snapshot takes full copies only.
func (s *Snapshot) Apply(u wire.Update) (*Snapshot, error) {
	if err := s.admits(u); err != nil {
		return nil, err
	}
	if s != nil && u.Version == s.Version {
		return s, nil
	}
	n := s.base(u)
	for _, name := range u.Removed {
		delete(n.Documents, name)
		delete(n.Bodies, name)
		n.removed[name] = u.Version
	}
	for _, b := range u.Bodies {
		if err := n.add(b); err != nil {
			return nil, err
		}
	}
	n.noteReplaced(s)
	if d := digestBodies(n.Bodies); d != u.Digest {
		return nil, problem.New(VersionGap, place(u.Version), fmt.Sprintf("digest %016x where %016x is stated", d, u.Digest), "pull a full copy")
	}
	return n.finish()
}

// admits checks that an update can follow the snapshot at all.
func (s *Snapshot) admits(u wire.Update) error {
	if u.Schema != wire.SchemaNumber {
		return problem.New(problem.Protocol, place(u.Version), fmt.Sprintf("schema %d, this build reads %d", u.Schema, wire.SchemaNumber), "run the same release on all daemons")
	}
	if s == nil {
		if u.From != 0 {
			return problem.New(VersionGap, place(u.Version), fmt.Sprintf("follows %d and none is held", u.From), "pull a full copy")
		}
		return nil
	}
	switch {
	case u.Version < s.Version:
		return problem.New(problem.Backward, place(u.Version), fmt.Sprintf("version %d is in force", s.Version), "ignore it")
	case u.Version == s.Version && u.Digest != s.Digest:
		return problem.New(problem.Backward, place(u.Version), fmt.Sprintf("digest %016x differs from %016x in force under the same number", u.Digest, s.Digest), "see docs/OPERATIONS.md on a store restored from a backup")
	case u.From > s.Version:
		return problem.New(VersionGap, place(u.Version), fmt.Sprintf("follows %d, version %d is in force", u.From, s.Version), "pull what lies between")
	}
	return nil
}

// base returns the unfinished snapshot that an update is laid upon.
func (s *Snapshot) base(u wire.Update) *Snapshot {
	n := &Snapshot{Version: u.Version, Documents: map[string]*document.Document{}, Bodies: map[string]wire.Body{}, removed: map[string]uint64{}}
	if s == nil {
		return n
	}
	maps.Copy(n.removed, s.removed)
	if u.From != 0 {
		maps.Copy(n.Documents, s.Documents)
		maps.Copy(n.Bodies, s.Bodies)
		return n
	}
	n.reuse(s, u)
	return n
}

// reuse takes over the parsed documents that a full copy holds unchanged and notes those that it has dropped.
func (s *Snapshot) reuse(old *Snapshot, u wire.Update) {
	kept := map[string]bool{}
	for _, b := range u.Bodies {
		kept[b.Service] = true
		if old.Bodies[b.Service].Digest == b.Digest {
			s.Documents[b.Service] = old.Documents[b.Service]
			s.Bodies[b.Service] = old.Bodies[b.Service]
		}
	}
	for name := range old.Bodies {
		if !kept[name] {
			s.removed[name] = u.Version
		}
	}
}

// add parses one body, or keeps the document already parsed from it.
func (s *Snapshot) add(b wire.Body) error {
	if b.Version > s.Version {
		return problem.New(problem.Protocol, place(s.Version), fmt.Sprintf("document of %q is of version %d", b.Service, b.Version), "fetch it again")
	}
	if old, ok := s.Bodies[b.Service]; ok && old.Digest == b.Digest {
		b.Data, b.Patch = old.Data, wire.Patch{}
		s.Bodies[b.Service] = b
		return nil
	}
	b, err := unpatch(b, s.Bodies[b.Service])
	if err != nil {
		return err
	}
	if d := Digest(b.Data); d != b.Digest {
		return problem.New(problem.Protocol, place(b.Version), fmt.Sprintf("document of %q has digest %s where %s is stated", b.Service, d, b.Digest), "fetch it again")
	}
	d, err := document.Parse(b.Service, b.Data)
	if err != nil {
		return err
	}
	if d.Service != b.Service {
		return problem.New(problem.Document, b.Service, fmt.Sprintf("the document names service %q", d.Service), "apply it under its own name")
	}
	s.Documents[b.Service] = d
	s.Bodies[b.Service] = b
	delete(s.removed, b.Service)
	return nil
}

// finish checks the references between all documents and sets the digest.
func (s *Snapshot) finish() (*Snapshot, error) {
	if err := document.CheckAll(s.Documents); err != nil {
		return nil, err
	}
	s.Digest = digestBodies(s.Bodies)
	s.forgetRemoved()
	return s, nil
}

// forgetRemoved keeps the list of removed services short; who misses one is led to a full copy by the digest.
func (s *Snapshot) forgetRemoved() {
	for len(s.removed) > maxRemoved {
		oldest := ""
		for name, version := range s.removed {
			if oldest == "" || version < s.removed[oldest] {
				oldest = name
			}
		}
		delete(s.removed, oldest)
	}
}

func place(version uint64) string { return fmt.Sprintf("configuration version %d", version) }
