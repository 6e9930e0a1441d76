package ledger

import (
	"fmt"
	"slices"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// replaced is a document that was held before the present one, up to a version.
type replaced struct {
	body  wire.Body
	until uint64
}

// patch returns a body as its difference from another one, or as it is when that is not shorter.
func patch(b, old wire.Body) wire.Body {
	head := 0
	for head < min(len(b.Data), len(old.Data)) && b.Data[head] == old.Data[head] {
		head++
	}
	tail := 0
	for tail < min(len(b.Data), len(old.Data))-head && b.Data[len(b.Data)-1-tail] == old.Data[len(old.Data)-1-tail] {
		tail++
	}
	if head+tail <= len(old.Digest) {
		return b
	}
	b.Data = b.Data[head : len(b.Data)-tail]
	b.Patch = wire.Patch{Base: old.Digest, Head: head, Tail: tail}
	return b
}

// unpatch returns the whole body; an error is of kind VersionGap when the document that it differs from is not held.
func unpatch(b, old wire.Body) (wire.Body, error) {
	p := b.Patch
	if p.Base == "" {
		return b, nil
	}
	if old.Digest != p.Base {
		return b, problem.New(VersionGap, place(b.Version), fmt.Sprintf("document of %q differs from %s, which is not held", b.Service, p.Base), "pull from the version in force")
	}
	if p.Head < 0 || p.Tail < 0 || p.Head > len(old.Data) || p.Tail > len(old.Data)-p.Head {
		return b, problem.New(problem.Protocol, place(b.Version), fmt.Sprintf("document of %q keeps more than there is", b.Service), "fetch it again")
	}
	b.Data = slices.Concat(old.Data[:p.Head], b.Data, old.Data[len(old.Data)-p.Tail:])
	b.Patch = wire.Patch{}
	return b, nil
}

// noteReplaced remembers the documents that a snapshot has replaced, to send the next one as a difference.
func (s *Snapshot) noteReplaced(old *Snapshot) {
	s.replaced = map[string]replaced{}
	if old == nil {
		return
	}
	for name, b := range s.Bodies {
		before, held := old.Bodies[name]
		if held && before.Digest != b.Digest {
			s.replaced[name] = replaced{body: before, until: old.Version}
		} else if r, ok := old.replaced[name]; ok {
			s.replaced[name] = r
		}
	}
}
