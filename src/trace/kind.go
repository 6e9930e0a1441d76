package trace

import (
	"encoding/json"
	"reflect"
	"strings"
	"unicode"
)

// Kind returns the name of an event's or action's type in snake case.
func Kind(v any) string {
	t := reflect.TypeOf(v)
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	var b strings.Builder
	for i, r := range t.Name() {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

// Outcomes encodes the actions that a core has returned.
func Outcomes[A any](actions []A) ([]Outcome, error) {
	out := make([]Outcome, 0, len(actions))
	for _, a := range actions {
		b, err := json.Marshal(a)
		if err != nil {
			return nil, err
		}
		out = append(out, Outcome{Kind: Kind(a), Action: b})
	}
	return out, nil
}
