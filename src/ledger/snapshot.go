package ledger

import (
	"fmt"
	"maps"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// VersionGap is the kind of error for an update that does not fit the version it is applied to: the receiver pulls what it lacks, or a full copy.
const VersionGap problem.Kind = "version gap"

const maxRemoved = 64 // removed services that a snapshot records

// Snapshot is one complete accepted configuration; it is immutable once built.
type Snapshot struct {
	Version   uint64
	Digest    uint64                        // 64-bit xxh3 over the names and digests of all documents
	Documents map[string]*document.Document // by service
	Bodies    map[string]wire.Body          // by service

	removedIn map[string]uint64       // by service: version of the update that removed it or of the full copy that lacked it, which may be later than the removal; only removals seen by this process, maxRemoved at most
	previous  map[string]previousBody // by service: document before the present one
}

// NewSnapshot parses and checks a complete configuration.
//
// Errors are of kind problem.Document, problem.Protocol (a body is of a later version than the snapshot, or its digest does not match) or VersionGap (a body is a patch).
func NewSnapshot(version uint64, bodies map[string]wire.Body) (*Snapshot, error) {
	s := &Snapshot{Version: version, Documents: make(map[string]*document.Document, len(bodies)), Bodies: make(map[string]wire.Body, len(bodies)), removedIn: map[string]uint64{}}
	for _, b := range bodies {
		if err := s.addBody(b); err != nil {
			return nil, err
		}
	}
	return s.finish()
}

// Apply returns the snapshot with an update applied, or s itself when it has that version; on an error, no part of the update is applied.
//
// Errors are of kind problem.Backward, VersionGap, problem.Protocol or problem.Document; a nil Snapshot takes full copies only.
func (s *Snapshot) Apply(u wire.Update) (*Snapshot, error) {
	if err := s.checkUpdate(u); err != nil {
		return nil, err
	}
	if s != nil && u.Version == s.Version {
		return s, nil
	}
	next := s.copyForUpdate(u)
	for _, name := range u.Removed {
		delete(next.Documents, name)
		delete(next.Bodies, name)
		next.removedIn[name] = u.Version
	}
	for _, b := range u.Bodies {
		if err := next.addBody(b); err != nil {
			return nil, err
		}
	}
	next.recordPrevious(s)
	if d := digestBodies(next.Bodies); d != u.Digest {
		return nil, problem.New(VersionGap, versionPlace(u.Version), fmt.Sprintf("digest %016x where %016x is stated", d, u.Digest), "pull a full copy")
	}
	return next.finish()
}

// checkUpdate checks the schema of an update and that its versions can follow the snapshot.
func (s *Snapshot) checkUpdate(u wire.Update) error {
	if u.Schema != wire.SchemaNumber {
		return problem.New(problem.Protocol, versionPlace(u.Version), fmt.Sprintf("schema %d, this build reads %d", u.Schema, wire.SchemaNumber), "run the same release on all daemons")
	}
	if s == nil {
		if u.From != 0 {
			return problem.New(VersionGap, versionPlace(u.Version), fmt.Sprintf("follows %d and none is held", u.From), "pull a full copy")
		}
		return nil
	}
	switch {
	case u.Version < s.Version:
		return problem.New(problem.Backward, versionPlace(u.Version), fmt.Sprintf("version %d is in force", s.Version), "ignore it")
	case u.Version == s.Version && u.Digest != s.Digest:
		return problem.New(problem.Backward, versionPlace(u.Version), fmt.Sprintf("digest %016x differs from %016x in force under the same number", u.Digest, s.Digest), "see docs/OPERATIONS.md on a store restored from a backup")
	case u.From > s.Version:
		return problem.New(VersionGap, versionPlace(u.Version), fmt.Sprintf("follows %d, version %d is in force", u.From, s.Version), "pull what lies between")
	}
	return nil
}

// copyForUpdate returns the unfinished snapshot to which the changes of an update are applied.
func (s *Snapshot) copyForUpdate(u wire.Update) *Snapshot {
	next := &Snapshot{Version: u.Version, Documents: map[string]*document.Document{}, Bodies: map[string]wire.Body{}, removedIn: map[string]uint64{}}
	if s == nil {
		return next
	}
	maps.Copy(next.removedIn, s.removedIn)
	if u.From != 0 {
		maps.Copy(next.Documents, s.Documents)
		maps.Copy(next.Bodies, s.Bodies)
		return next
	}
	next.reuseParsed(s, u)
	return next
}

// reuseParsed copies the parsed documents that a full copy contains unchanged, and records the services that it no longer contains.
func (s *Snapshot) reuseParsed(old *Snapshot, u wire.Update) {
	present := map[string]bool{}
	for _, b := range u.Bodies {
		present[b.Service] = true
		if old.Bodies[b.Service].Digest == b.Digest {
			s.Documents[b.Service] = old.Documents[b.Service]
			s.Bodies[b.Service] = old.Bodies[b.Service]
		}
	}
	for name := range old.Bodies {
		if !present[name] {
			s.removedIn[name] = u.Version
		}
	}
}

// addBody adds a body: it applies its patch, verifies its digest and parses it, unless the snapshot already has the same document.
func (s *Snapshot) addBody(b wire.Body) error {
	if b.Version > s.Version {
		return problem.New(problem.Protocol, versionPlace(s.Version), fmt.Sprintf("document of %q is of version %d", b.Service, b.Version), "fetch it again")
	}
	if old, ok := s.Bodies[b.Service]; ok && old.Digest == b.Digest {
		b.Data, b.Patch = old.Data, wire.Patch{}
		s.Bodies[b.Service] = b
		return nil
	}
	b, err := applyPatch(b, s.Bodies[b.Service])
	if err != nil {
		return err
	}
	if d := Digest(b.Data); d != b.Digest {
		return problem.New(problem.Protocol, versionPlace(b.Version), fmt.Sprintf("document of %q has digest %s where %s is stated", b.Service, d, b.Digest), "fetch it again")
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
	delete(s.removedIn, b.Service)
	return nil
}

// finish checks all documents against each other and sets the digest.
func (s *Snapshot) finish() (*Snapshot, error) {
	if err := document.CheckAll(s.Documents); err != nil {
		return nil, err
	}
	s.Digest = digestBodies(s.Bodies)
	s.trimRemoved()
	return s, nil
}

// trimRemoved drops the oldest removals beyond maxRemoved; a receiver that misses one detects it by the digest and pulls a full copy.
func (s *Snapshot) trimRemoved() {
	for len(s.removedIn) > maxRemoved {
		oldest := ""
		for name, version := range s.removedIn {
			if oldest == "" || version < s.removedIn[oldest] {
				oldest = name
			}
		}
		delete(s.removedIn, oldest)
	}
}

func versionPlace(version uint64) string { return fmt.Sprintf("configuration version %d", version) }
