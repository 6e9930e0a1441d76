package document

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/yuccaport/yuccaport/src/problem"
)

// MaxSize is the largest document that is accepted, in bytes.
const MaxSize = 64 << 10

// Parse reads and checks the document in a file and fills in its defaults; errors of kind problem.Document list every fault found.
func Parse(file string, data []byte) (*Document, error) {
	if len(data) > MaxSize {
		return nil, problem.New(problem.Document, file, fmt.Sprintf("%d bytes", len(data)),
			fmt.Sprintf("shorten the document to at most %d bytes", MaxSize))
	}
	d := &Document{file: file}
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(d); err != nil {
		return nil, decodeError(file, data, err)
	}
	d.keys = indexKeys(data)
	d.setDefaults()
	f := &faults{file: file, keys: d.keys}
	d.check(f)
	if err := f.err(); err != nil {
		return nil, err
	}
	return d, nil
}

// decodeError gives what the TOML decoder reports as problems with their places.
func decodeError(file string, data []byte, err error) error {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		var errs []error
		for _, e := range missing.Errors {
			row, _ := e.Position()
			errs = append(errs, problem.New(problem.Document, fmt.Sprintf("%s:%d: %s", file, row, strings.Join(e.Key(), ".")),
				"unknown key", "remove it or correct its spelling; docs/DOCUMENT.md lists the keys"))
		}
		return errors.Join(errs...)
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		row, _ := bad.Position()
		place := fmt.Sprintf("%s:%d", file, row)
		if key := keyAt(data, row); key != "" {
			place += ": " + key
		}
		return problem.Wrap(problem.Document, err, place, "cannot be read", "correct the value or the TOML syntax on this line")
	}
	return problem.Wrap(problem.Document, err, file, "cannot be read", "correct the TOML syntax")
}

// keyAt names the key on a line as it is written, since the file may not be valid TOML.
func keyAt(data []byte, row int) string {
	lines := bytes.Split(data, []byte("\n"))
	if row < 1 || row > len(lines) {
		return ""
	}
	key, _, ok := bytes.Cut(lines[row-1], []byte("="))
	if !ok {
		return ""
	}
	return string(bytes.TrimSpace(key))
}
