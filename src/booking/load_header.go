package booking

import (
	"bytes"
	"strconv"

	"github.com/valyala/fasthttp"
)

const (
	fieldsBeforeSpeed = 3   // of the load header: requests running, waiting and slots
	maxSpeedText      = 16  // bytes; a longer figure is none
	maxSpeed          = 1e6 // percent; bounds the conversion to an integer
)

// parseSpeed returns the speed in percent that a load header states as its fourth figure; ok is
// false if it states none.
func parseSpeed(value []byte) (percent int, ok bool) {
	for range fieldsBeforeSpeed {
		if _, value, ok = bytes.Cut(value, []byte{','}); !ok {
			return 0, false
		}
	}
	value, _, _ = bytes.Cut(value, []byte{','})
	value = bytes.TrimSpace(value)
	if len(value) > maxSpeedText {
		return 0, false
	}
	f, err := strconv.ParseFloat(string(value), 64)
	if err != nil || !(f >= 1 && f <= maxSpeed) {
		return 0, false
	}
	return int(f + 0.5), true
}

// recordSpeedLocked passes the speed in the load header of an answer to the core. s.mu must be held.
func (s *Server) recordSpeedLocked(h *fasthttp.ResponseHeader) {
	if s.Headers.Load == "" {
		return
	}
	if percent, ok := parseSpeed(h.Peek(s.Headers.Load)); ok {
		s.stepLocked(Speed{Percent: percent})
		s.counters.speed.Set(float64(percent))
	}
}
