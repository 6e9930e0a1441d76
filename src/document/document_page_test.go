package document_test

import (
	"os"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/document"
)

// TestDocumentationListsKeys checks that docs/DOCUMENT.md lists every key of a document.
func TestDocumentationListsKeys(t *testing.T) {
	page, err := os.ReadFile("../../docs/DOCUMENT.md")
	qt.Assert(t, err, qt.IsNil)
	for _, key := range keys("", reflect.TypeFor[document.Document]()) {
		qt.Check(t, string(page), qt.Contains, "| `"+key+"` |")
	}
}

// keys returns the dotted paths of the TOML keys of a struct type and its nested structs. It includes the key of an array of tables, but not that of a plain table.
func keys(prefix string, t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		if !f.IsExported() || f.Tag.Get("toml") == "-" { // "-" marks a field that is no key
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
