package fleetmodel

import "time"

// Route is one kind of request.
type Route struct {
	Name      string
	Service   string        // that runs it
	Rate      float64       // of new requests per second, at all agents together
	Work      time.Duration // mean time that a run takes at a server of speed 1, without its inner calls
	Objective time.Duration // latency objective of a request, from its first attempt
	Deadline  time.Duration // of a request, from its first attempt
	Priority  uint8         // 0 is the most urgent
	Inner     string        // route of the calls that a run makes, empty for none
	Calls     int           // number of those calls, made together; the run fails if one of them does
	Body      int           // bytes of a request
	Answer    int           // bytes of its answer
	Repeats   bool          // a caller that is refused comes back once at the time it was told
	Contents  int           // different requests of the route, 0 if no two are the same
	Crashes   bool          // each run crashes its server
}
