package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"time"

	"github.com/yuccaport/yuccaport/src/problem"
)

const maxLineSize = 16 << 20 // bytes

// Trace is a recorded run of one core.
type Trace struct {
	Header  Header
	Entries []Entry
}

// Read reads a whole trace; an error is of kind problem.Usage and names the line.
func Read(r io.Reader) (*Trace, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineSize)
	t := &Trace{}
	for n := 1; s.Scan(); n++ {
		var v any = &t.Header
		if n > 1 {
			t.Entries = append(t.Entries, Entry{})
			v = &t.Entries[len(t.Entries)-1]
		}
		d := json.NewDecoder(bytes.NewReader(s.Bytes()))
		d.DisallowUnknownFields()
		if err := d.Decode(v); err != nil {
			return nil, problem.Wrap(problem.Usage, err, fmt.Sprintf("line %d", n), "not a line of a trace", "see docs/TRACES.md for the format")
		}
	}
	return t, s.Err()
}

// Run replays every entry and returns an error of kind problem.Usage that shows the first decision that differs.
func (t *Trace) Run(c Core) error {
	start := time.Unix(0, 0).UTC()
	for i, e := range t.Entries {
		got, err := c.Replay(start.Add(e.At), e.Kind, e.Event)
		if err != nil {
			return err
		}
		if err := compare(i+2, e, got); err != nil {
			return err
		}
	}
	return nil
}

func compare(line int, e Entry, got []Outcome) error {
	want, have := normalize(e.Outcome), normalize(got)
	if reflect.DeepEqual(want, have) {
		return nil
	}
	w, _ := json.Marshal(want)
	g, _ := json.Marshal(have)
	return problem.New(problem.Usage, fmt.Sprintf("line %d", line),
		fmt.Sprintf("event %s at %s: stated outcome %s, replayed %s", e.Kind, e.At, w, g),
		"find the change to the core that decides otherwise, or state the new outcome with its reason")
}

func normalize(o []Outcome) []any {
	out := []any{}
	for _, x := range o {
		var a any
		if len(x.Action) > 0 {
			_ = json.Unmarshal(x.Action, &a)
		}
		out = append(out, map[string]any{"kind": x.Kind, "action": a})
	}
	return out
}
