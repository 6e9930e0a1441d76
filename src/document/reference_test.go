package document_test

import (
	"os"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/document"
)

// TestReferencePage checks that docs/DOCUMENT.md lists every key of a document.
func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/DOCUMENT.md")
	qt.Assert(t, err, qt.IsNil)
	for _, key := range keys("", reflect.TypeFor[document.Document]()) {
		qt.Check(t, string(page), qt.Contains, "| `"+key+"` |")
	}
}

// keys returns the dotted paths of the TOML keys of a struct type, including the keys of tables and of arrays of tables.
func keys(prefix string, t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		if !f.IsExported() {
			continue
		}
		key := prefix + f.Tag.Get("toml")
		inner := f.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			out = append(out, keys(key+".", inner)...)
			if f.Type.Kind() != reflect.Slice {
				continue
			}
		}
		out = append(out, key)
	}
	return out
}
