package deposit

import "github.com/yuccaport/yuccaport/src/wire"

// MaxRecordSize bounds the fields and body kept of an outcome, in bytes.
const MaxRecordSize = 8 << 10

// Record is the outcome of a request that ran.
type Record struct {
	Status  uint16       `json:"status"`
	Fields  []wire.Field `json:"fields,omitempty"`
	Body    []byte       `json:"body,omitempty"`
	Omitted bool         `json:"omitted,omitempty"` // fields and body were over MaxRecordSize and are not kept; the answer is not whole
}

// bounded drops what is over MaxRecordSize.
func (r Record) bounded() Record {
	n := len(r.Body)
	for _, f := range r.Fields {
		n += len(f.Name) + len(f.Value)
	}
	if n > MaxRecordSize {
		return Record{Status: r.Status, Omitted: true}
	}
	return r
}
