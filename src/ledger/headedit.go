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

// The bounds of the head record.
const (
	MaxServices          = 400
	MaxChangesPerService = 8    // for each service
	MaxChanges           = 2000 // for all services
	MaxRetiredKeys       = 1000
	MaxLatestChanges     = 16               // changes
	MaxPendingEdits      = 64               // edits under way
	MaxNoteSize          = 80               // bytes
	HeadRetention        = time.Minute      // a replaced head stays this long
	BodyRetention        = 10 * time.Minute // a document stays this long after the head has stopped referring to it
	doomedAtOnce         = 8
	maxHeadSize          = kv.MaxValueSize
	maxEditIDSize        = 32 // bytes
)

// service returns the entry of a service.
func service(h *wire.Head, name string) (wire.HeadService, bool) {
	i, ok := slices.BinarySearchFunc(h.Services, name, func(s wire.HeadService, n string) int { return cmp.Compare(s.Name, n) })
	if !ok {
		return wire.HeadService{}, false
	}
	return h.Services[i], true
}

// setService replaces or adds an entry, in a copy of the list.
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

// addChange appends to the history and drops the oldest changes past the bounds.
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

// edited returns the change that an edit id made.
func edited(h *wire.Head, id string) (wire.HeadChange, bool) {
	for _, c := range slices.Backward(h.Changes) {
		if c.EditID == id {
			return c, true
		}
	}
	return wire.HeadChange{}, false
}

// lastChange returns the newest change of a service.
func lastChange(h *wire.Head, name string) (wire.HeadChange, bool) {
	for _, c := range slices.Backward(h.Changes) {
		if c.Service == name {
			return c, true
		}
	}
	return wire.HeadChange{}, false
}

// references tells whether the head's services or history name a body.
func references(h *wire.Head, digest string) bool {
	return slices.ContainsFunc(h.Services, func(s wire.HeadService) bool { return s.Digest == digest }) ||
		slices.ContainsFunc(h.Changes, func(c wire.HeadChange) bool { return c.Digest == digest })
}

// encodeHead returns the head's value, or an error of kind problem.Document when it is past its bounds.
func encodeHead(h *wire.Head) ([]byte, error) {
	if len(h.Services) > MaxServices {
		return nil, problem.New(problem.Document, HeadRefKey, fmt.Sprintf("%d services", len(h.Services)), fmt.Sprintf("remove documents that are not used: a store holds at most %d", MaxServices))
	}
	if len(h.Retired) > MaxRetiredKeys {
		return nil, problem.New(problem.Busy, HeadRefKey, fmt.Sprintf("%d replaced keys wait for deletion", len(h.Retired)), fmt.Sprintf("try again after %s", BodyRetention))
	}
	b, err := h.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	if len(b) > maxHeadSize {
		return nil, problem.New(problem.Document, HeadRefKey, fmt.Sprintf("the head record would have %d bytes", len(b)), "remove documents that are not used")
	}
	return b, nil
}

// firstChange returns the oldest change of a service that is kept.
func firstChange(h *wire.Head, name string) (wire.HeadChange, bool) {
	for _, c := range h.Changes {
		if c.Service == name {
			return c, true
		}
	}
	return wire.HeadChange{}, false
}
