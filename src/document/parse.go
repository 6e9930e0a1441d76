package document

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/yuccaport/yuccaport/src/problem"
)

// MaxSize is the largest accepted size of a document, in bytes.
const MaxSize = 64 << 10

// Parse parses a document, sets its defaults and validates it. The file name is used in errors, which are of kind problem.Document.
//
// A syntax error, a value of a wrong type, a size over MaxSize and an invalid service name are each reported alone; otherwise the errors include all unknown keys or, if there are none, all invalid values.
func Parse(file string, data []byte) (*Document, error) {
	if len(data) > MaxSize {
		return nil, problem.New(problem.Document, file, fmt.Sprintf("%d bytes", len(data)),
			fmt.Sprintf("shorten the document to at most %d bytes", MaxSize))
	}
	d := &Document{file: file}
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(d); err != nil {
		return nil, convertDecodeError(file, data, err)
	}
	d.keys = indexKeys(data)
	d.setDefaults()
	collector := &errorCollector{file: file, keys: d.keys}
	d.check(collector)
	if err := collector.err(); err != nil {
		return nil, err
	}
	return d, nil
}

// convertDecodeError converts an error of the TOML decoder to errors of kind problem.Document with their lines.
func convertDecodeError(file string, data []byte, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var errs []error
		for _, e := range unknown.Errors {
			row, _ := e.Position()
			errs = append(errs, problem.New(problem.Document, fmt.Sprintf("%s:%d: %s", file, row, strings.Join(e.Key(), ".")),
				"unknown key", "remove it or correct its spelling; docs/DOCUMENT.md lists the keys"))
		}
		return errors.Join(errs...)
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		row, _ := invalid.Position()
		place := fmt.Sprintf("%s:%d", file, row)
		if key := keyAt(data, row); key != "" {
			place += ": " + key
		}
		return problem.Wrap(problem.Document, err, place, "cannot be read", "correct the value or the TOML syntax on this line")
	}
	return problem.Wrap(problem.Document, err, file, "cannot be read", "correct the TOML syntax")
}

// keyAt returns the text before the first = on a line. It does not parse the line, since the file may be invalid TOML.
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
