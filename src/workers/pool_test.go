package workers_test

import (
	"sync"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/workers"
)

const soon = 5 * time.Second // for what takes microseconds

func TestPoolRefusesBeyondItsBound(t *testing.T) {
	c := qt.New(t)
	p := &workers.Pool{Max: 2}
	hold := make(chan struct{})
	var done sync.WaitGroup
	done.Add(2)
	for range 2 {
		c.Assert(p.Go(func() { <-hold; done.Done() }), qt.IsNil)
	}
	c.Assert(p.Go(func() {}), qt.ErrorIs, pond.ErrQueueFull)
	close(hold)
	done.Wait()
	p.StopAndWait()
	c.Assert(p.Go(func() {}), qt.ErrorIs, pond.ErrPoolStopped)
}

func TestAnIdleWorkerTakesTheNextTask(t *testing.T) {
	c := qt.New(t)
	p := &workers.Pool{Max: 1}
	defer p.StopAndWait()
	for i := range 1000 {
		done := make(chan struct{})
		for end := time.Now().Add(soon); p.Go(func() { close(done) }) != nil; time.Sleep(10 * time.Microsecond) {
			c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the worker of task %d is never idle", i))
		}
		<-done
	}
}

func TestAStopWaitsForTasksAndNotForIdleWorkers(t *testing.T) {
	c := qt.New(t)
	p := &workers.Pool{Max: 9}
	for range 8 {
		_ = p.Go(func() {})
	}
	ran := false
	c.Assert(p.Go(func() { time.Sleep(20 * time.Millisecond); ran = true }), qt.IsNil)
	began := time.Now()
	p.StopAndWait()
	c.Assert(ran, qt.IsTrue)
	c.Assert(time.Since(began) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("half of the time for which workers stay idle"))
}
