package document

import (
	"errors"
	"fmt"

	"github.com/yuccaport/yuccaport/src/problem"
)

// faults gathers everything that is wrong with one file.
type faults struct {
	file string
	keys index
	errs []error
}

// add notes a fault of a key; what names the value found.
func (f *faults) add(key, what, remedy string) {
	place := fmt.Sprintf("%s:%d: %s", f.file, f.keys.line(key), key)
	f.errs = append(f.errs, problem.New(problem.Document, place, what, remedy))
}

func (f *faults) err() error { return errors.Join(f.errs...) }
