package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/yuccaport/yuccaport/src/kv"
	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

// Bounds of the head and the reference, and retention times of unused keys.
const (
	MaxServices          = 400
	MaxChangesPerService = 8                // history entries of one service
	MaxChanges           = 2000             // history entries of all services
	MaxRetiredKeys       = 1000             // unused keys that wait for deletion
	MaxLatestChanges     = 16               // changes listed in the reference
	MaxPendingEdits      = 64               // edits under way, or failed and still listed as pending, each with two pending keys at most
	MaxNoteSize          = 80               // bytes
	HeadRetention        = time.Minute      // shortest time from the replacement of a head to its deletion, for slow readers
	BodyRetention        = 10 * time.Minute // shortest time from when the head stops referring to a document to its deletion, for slow readers; a pending edit of this age counts as abandoned
	maxDoomedKeys        = 8                // retired keys marked for deletion at a time
	maxHeadSize          = kv.MaxValueSize
	maxEditIDSize        = 32 // bytes
)

// findService returns the entry of a service.
func findService(h *wire.Head, name string) (wire.HeadService, bool) {
	i, ok := slices.BinarySearchFunc(h.Services, name, func(s wire.HeadService, n string) int { return cmp.Compare(s.Name, n) })
	if !ok {
		return wire.HeadService{}, false
	}
	return h.Services[i], true
}

// setService adds or replaces an entry, in a copy of the list.
func setService(h *wire.Head, s wire.HeadService) {
	list := slices.Clone(h.Services)
	i, ok := slices.BinarySearchFunc(list, s.Name, func(o wire.HeadService, n string) int { return cmp.Compare(o.Name, n) })
	if ok {
		list[i] = s
	} else {
		list = slices.Insert(list, i, s)
	}
	h.Services = list
}

func removeService(h *wire.Head, name string) {
	h.Services = slices.DeleteFunc(slices.Clone(h.Services), func(s wire.HeadService) bool { return s.Name == name })
}

// addChange appends to the history and drops the oldest changes beyond MaxChangesPerService and MaxChanges.
func addChange(h *wire.Head, c wire.HeadChange) {
	changes := append(slices.Clone(h.Changes), c)
	n := 0
	for _, o := range changes {
		if o.Service == c.Service {
			n++
		}
	}
	changes = slices.DeleteFunc(changes, func(o wire.HeadChange) bool {
		if o.Service != c.Service || n <= MaxChangesPerService {
			return false
		}
		n--
		return true
	})
	h.Changes = changes[max(len(changes)-MaxChanges, 0):]
}

// changeByEditID returns the change made by the edit with the given id.
func changeByEditID(h *wire.Head, id string) (wire.HeadChange, bool) {
	for _, c := range slices.Backward(h.Changes) {
		if c.EditID == id {
			return c, true
		}
	}
	return wire.HeadChange{}, false
}

// latestChange returns the newest change of a service.
func latestChange(h *wire.Head, name string) (wire.HeadChange, bool) {
	for _, c := range slices.Backward(h.Changes) {
		if c.Service == name {
			return c, true
		}
	}
	return wire.HeadChange{}, false
}

// refersToBody reports whether the head's services or history refer to the body with the given digest.
func refersToBody(h *wire.Head, digest string) bool {
	return slices.ContainsFunc(h.Services, func(s wire.HeadService) bool { return s.Digest == digest }) ||
		slices.ContainsFunc(h.Changes, func(c wire.HeadChange) bool { return c.Digest == digest })
}

// encodeHead returns the encoded head, or an error of kind problem.Document or problem.Busy when it exceeds a bound.
func encodeHead(h *wire.Head) ([]byte, error) {
	if len(h.Services) > MaxServices {
		return nil, problem.New(problem.Document, HeadRefKey, fmt.Sprintf("%d services", len(h.Services)), fmt.Sprintf("remove documents that are not used: a store holds at most %d", MaxServices))
	}
	if len(h.Retired) > MaxRetiredKeys {
		return nil, problem.New(problem.Busy, HeadRefKey, fmt.Sprintf("%d retired keys wait for deletion", len(h.Retired)), fmt.Sprintf("try again after %s", BodyRetention))
	}
	b, err := h.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	if len(b) > maxHeadSize {
		return nil, problem.New(problem.Document, HeadRefKey, fmt.Sprintf("the head would have %d bytes", len(b)), "remove documents that are not used")
	}
	return b, nil
}

// oldestChange returns the oldest change of a service that the history holds.
func oldestChange(h *wire.Head, name string) (wire.HeadChange, bool) {
	for _, c := range h.Changes {
		if c.Service == name {
			return c, true
		}
	}
	return wire.HeadChange{}, false
}
