package booking

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/yuccaport/yuccaport/src/header"
)

func TestReadNotice(t *testing.T) {
	names := header.Names{Limit: "X-Limit", Leaving: "X-Leaving"}
	tests := map[string]struct {
		names   header.Names
		fields  map[string]string
		want    notice
		invalid string
	}{
		"nothing":                {names, nil, notice{limit: noLimit}, ""},
		"limit":                  {names, map[string]string{"X-Limit": "25.4"}, notice{limit: 25.4}, ""},
		"takes nothing":          {names, map[string]string{"X-Limit": "0"}, notice{}, ""},
		"leaving":                {names, map[string]string{"X-Leaving": "1"}, notice{limit: noLimit, leaving: true}, ""},
		"both":                   {names, map[string]string{"X-Limit": "3", "X-Leaving": "1"}, notice{limit: 3, leaving: true}, ""},
		"another leaving value":  {names, map[string]string{"X-Leaving": "0"}, notice{limit: noLimit}, ""},
		"negative":               {names, map[string]string{"X-Limit": "-1"}, notice{limit: noLimit}, "-1"},
		"no number":              {names, map[string]string{"X-Limit": "some"}, notice{limit: noLimit}, "some"},
		"not a number":           {names, map[string]string{"X-Limit": "NaN"}, notice{limit: noLimit}, "NaN"},
		"infinite":               {names, map[string]string{"X-Limit": "inf"}, notice{limit: noLimit}, "inf"},
		"fields that are unused": {header.Names{}, map[string]string{"X-Limit": "3", "X-Leaving": "1"}, notice{limit: noLimit}, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var h fasthttp.ResponseHeader
			for k, v := range tc.fields {
				h.Set(k, v)
			}
			got, invalid := readNotice(tc.names, &h)
			c.Check(got, qt.Equals, tc.want)
			c.Check(invalid, qt.Equals, tc.invalid)
		})
	}
}
