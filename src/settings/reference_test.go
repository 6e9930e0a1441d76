package settings_test

import (
	"os"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/settings"
)

func TestReferenceNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	qt.Assert(t, err, qt.IsNil)
	for _, key := range keys("", reflect.TypeFor[settings.Settings]()) {
		qt.Check(t, string(page), qt.Contains, "`"+key+"`")
	}
}

// keys returns the TOML keys of a struct type, those of nested tables with a dot.
func keys(prefix string, t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + f.Tag.Get("toml")
		if f.Type.Kind() == reflect.Struct && f.Type.PkgPath() == t.PkgPath() {
			out = append(out, keys(key+".", f.Type)...)
			continue
		}
		out = append(out, key)
	}
	return out
}
