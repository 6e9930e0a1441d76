package ledger

import (
	"fmt"
	"slices"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// previousBody is the document that a service had before the present one.
type previousBody struct {
	body        wire.Body
	lastVersion uint64 // last configuration version known to contain it
}

// patchBody returns a body as a patch of old, or the body itself when a patch would not be shorter.
func patchBody(b, old wire.Body) wire.Body {
	prefix := 0
	for prefix < min(len(b.Data), len(old.Data)) && b.Data[prefix] == old.Data[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < min(len(b.Data), len(old.Data))-prefix && b.Data[len(b.Data)-1-suffix] == old.Data[len(old.Data)-1-suffix] {
		suffix++
	}
	if prefix+suffix <= len(old.Digest) {
		return b
	}
	b.Data = b.Data[prefix : len(b.Data)-suffix]
	b.Patch = wire.Patch{Base: old.Digest, Head: prefix, Tail: suffix}
	return b
}

// applyPatch returns the complete body; an error is of kind VersionGap when old is not the document that the patch is based on, or problem.Protocol when the patch keeps more than old has.
func applyPatch(b, old wire.Body) (wire.Body, error) {
	p := b.Patch
	if p.Base == "" {
		return b, nil
	}
	if old.Digest != p.Base {
		return b, problem.New(VersionGap, versionPlace(b.Version), fmt.Sprintf("document of %q differs from %s, which is not held", b.Service, p.Base), "pull from the version in force")
	}
	if p.Head < 0 || p.Tail < 0 || p.Head > len(old.Data) || p.Tail > len(old.Data)-p.Head {
		return b, problem.New(problem.Protocol, versionPlace(b.Version), fmt.Sprintf("document of %q keeps more than there is", b.Service), "fetch it again")
	}
	b.Data = slices.Concat(old.Data[:p.Head], b.Data, old.Data[len(old.Data)-p.Tail:])
	b.Patch = wire.Patch{}
	return b, nil
}

// recordPrevious records the documents that the snapshot has replaced, so that UpdateFrom can send patches based on them.
func (s *Snapshot) recordPrevious(old *Snapshot) {
	s.previous = map[string]previousBody{}
	if old == nil {
		return
	}
	for name, b := range s.Bodies {
		before, existed := old.Bodies[name]
		if existed && before.Digest != b.Digest {
			s.previous[name] = previousBody{body: before, lastVersion: old.Version}
		} else if r, ok := old.previous[name]; ok {
			s.previous[name] = r
		}
	}
}
