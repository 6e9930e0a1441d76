package booking

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

const (
	loadFields = 4 // of the load header with a speed: requests running, waiting, slots, speed
	speedField = 3
)

// parseSpeed returns the speed in percent that a load header states; ok is false if it states none.
func parseSpeed(value string) (percent int, ok bool) {
	fields := strings.Split(value, ",")
	if len(fields) < loadFields {
		return 0, false
	}
	f, err := strconv.ParseFloat(strings.TrimSpace(fields[speedField]), 64)
	if err != nil || !(f >= 1 && f <= 1e6) {
		return 0, false
	}
	return int(f + 0.5), true
}

// recordSpeedLocked passes the speed in the load header of an answer to the core. s.mu must be held.
func (s *Server) recordSpeedLocked(h *fasthttp.ResponseHeader) {
	if s.Headers.Load == "" {
		return
	}
	if percent, ok := parseSpeed(string(h.Peek(s.Headers.Load))); ok {
		s.stepLocked(Speed{Percent: percent})
		s.counters.speed.Set(float64(percent))
	}
}
