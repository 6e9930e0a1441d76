package fleetmodel

import (
	"container/heap"
	"time"
)

// clock runs scheduled functions in the order of their simulated time.
type clock struct {
	now    time.Time
	seq    int
	events eventHeap
}

// after schedules a function.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(d), seq: c.seq, run: run})
}

// run runs all events.
func (c *clock) run() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}
