package trace_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/trace"
)

type countUp struct {
	By int `json:"by"`
}

type newCount struct {
	N int `json:"n"`
}

// counter is a core that adds up its events, times factor.
type counter struct{ n, factor int }

func (c *counter) Replay(_ time.Time, _ string, event json.RawMessage) ([]trace.Outcome, error) {
	var e countUp
	if err := json.Unmarshal(event, &e); err != nil {
		return nil, err
	}
	c.n += e.By * c.factor
	return trace.Outcomes([]newCount{{N: c.n}})
}

func record(c *qt.C, w *bytes.Buffer) {
	r := &trace.Recorder{W: w, Header: trace.Header{Core: "counter", Title: "adds up"}}
	core := &counter{factor: 1}
	for i, by := range []int{1, 2, 3} {
		e := countUp{By: by}
		b, err := json.Marshal(e)
		c.Assert(err, qt.IsNil)
		out, err := core.Replay(time.Time{}, "count_up", b)
		c.Assert(err, qt.IsNil)
		r.Record(time.Unix(int64(i), 0), e, out)
	}
	c.Assert(r.Err(), qt.IsNil)
}

func TestReplay(t *testing.T) {
	tests := map[string]struct {
		factor int
		want   string
	}{
		"same decisions":  {factor: 1},
		"other decisions": {factor: 2, want: `usage: line 2: event count_up at 0s: stated outcome .*"n":1.*, replayed .*"n":2.*`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var buf bytes.Buffer
			record(c, &buf)
			tr, err := trace.Read(&buf)
			c.Assert(err, qt.IsNil)
			c.Assert(tr.Entries, qt.HasLen, 3)
			err = tr.Run(&counter{factor: tc.factor})
			if tc.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, tc.want)
		})
	}
}

func TestReadRefusesUnknownKeys(t *testing.T) {
	c := qt.New(t)
	_, err := trace.Read(bytes.NewBufferString(`{"core":"x","colour":1}`))
	c.Assert(err, qt.ErrorIs, problem.Usage)
	c.Assert(err, qt.ErrorMatches, `.*line 1.*TRACES.md.*`)
}
