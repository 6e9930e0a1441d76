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

// event is a function to run at a time.
type event struct {
	at  time.Time
	seq int // events of the same time run in the order in which they were scheduled
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
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
