package report

import (
	"bytes"
	"encoding/json"
	"time"
)

// line is a log line of an agent, with the fields that a report uses.
type line struct {
	Time      time.Time `json:"time"`
	Logger    string    `json:"logger"`
	Message   string    `json:"msg"`
	Agent     string    `json:"agent"`
	Service   string    `json:"service"`
	Route     string    `json:"route"`
	RequestID string    `json:"request_id"`
	Reason    string    `json:"reason"`
	Attempt   int       `json:"attempt"`
	Status    int       `json:"status"`
	Slots     int       `json:"slots"`
	WaitMS    int64     `json:"wait_ms"`
	WaitedMS  int64     `json:"waited_ms"`
	TookMS    int64     `json:"took_ms"`
	HeldMS    int64     `json:"held_ms"`
	Objective int64     `json:"objective_ms"`
	Is        string    `json:"is"`
	Leaving   bool      `json:"leaving"`
	State     any       `json:"state"` // a string in the lines that are read here
	EndedBy   string    `json:"ended_by"`
	End       string    `json:"end"`
	Answer    string    `json:"answer"` // end that the request would have had, empty for none
	Sent      bool      `json:"sent"`
	MayRun    bool      `json:"may_have_run"`
	Replayed  bool      `json:"replayed"`
	SignalMS  *int64    `json:"since_signal_ms"` // nil outside a planned stop
}

// parseLine parses a log line, which may follow a prefix such as the name of its process.
// ok is false for a line that is not one of an agent's log.
func parseLine(b []byte) (l line, ok bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 || json.Unmarshal(b[i:], &l) != nil {
		return l, false
	}
	return l, !l.Time.IsZero() && l.Message != ""
}
