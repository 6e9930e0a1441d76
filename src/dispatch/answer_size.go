package dispatch

const answerSizeWeight = 1.0 / 16 // weight of a new answer in the mean size

// answerSizes holds the mean size of the answers of each route that have a body, in bytes, 0 for a
// route without any. The zero value is empty.
type answerSizes struct{ byRoute map[routeKey]float64 }

// add records the size of an answer. A further route beyond maxRoutes discards all sizes.
func (s *answerSizes) add(k routeKey, size int64) {
	mean, ok := s.byRoute[k]
	switch {
	case ok && size == 0:
	case ok && mean > 0:
		mean += answerSizeWeight * (float64(size) - mean)
	case !ok && (len(s.byRoute) >= maxRoutes || s.byRoute == nil):
		s.byRoute = map[routeKey]float64{}
		fallthrough
	default:
		mean = float64(size)
	}
	s.byRoute[k] = mean
}

// mean returns the mean size of a route's answers, 0 if it is unknown.
func (s *answerSizes) mean(k routeKey) int64 { return int64(s.byRoute[k]) }

// isKnown reports whether the size of any answer of a route has been stated.
func (s *answerSizes) isKnown(k routeKey) bool {
	_, ok := s.byRoute[k]
	return ok
}
