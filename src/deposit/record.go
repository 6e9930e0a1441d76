package deposit

import "github.com/yuccaport/yuccaport/src/wire"

// MaxRecordSize is the largest total size of fields and body that is recorded of an outcome, in bytes.
const MaxRecordSize = 8 << 10

// Record is the outcome of a request that ran.
type Record struct {
	Status  uint16       `json:"status"`
	Fields  []wire.Field `json:"fields,omitempty"`
	Body    []byte       `json:"body,omitempty"`
	Omitted bool         `json:"omitted,omitempty"` // the body was not kept: fields and body exceeded MaxRecordSize, and neither is kept, or the caller did not hold the whole body; repeats cannot be answered from the record
}

// limitSize returns the record, without fields and body if these exceed MaxRecordSize.
func (r Record) limitSize() Record {
	size := len(r.Body)
	for _, f := range r.Fields {
		size += len(f.Name) + len(f.Value)
	}
	if size > MaxRecordSize {
		return Record{Status: r.Status, Omitted: true}
	}
	return r
}
