package document

import (
	"errors"
	"fmt"

	"github.com/yuccaport/yuccaport/src/problem"
)

// errorCollector collects all errors found in one file.
type errorCollector struct {
	file string
	keys keyIndex
	errs []error
}

// add adds an error about a key with its line; found describes the value in the file.
func (c *errorCollector) add(keyPath, found, remedy string) {
	place := fmt.Sprintf("%s:%d: %s", c.file, c.keys.lineOf(keyPath), keyPath)
	c.errs = append(c.errs, problem.New(problem.Document, place, found, remedy))
}

// err returns the errors joined, or nil if there are none.
func (c *errorCollector) err() error { return errors.Join(c.errs...) }
