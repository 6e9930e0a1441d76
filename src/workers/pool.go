package workers

import (
	"sync"
	"time"

	"github.com/alitto/pond/v2"
)

const idleTime = time.Second // a worker waits this long for its next task: busy daemons get one every few milliseconds

// Pool runs tasks at once or refuses them; its workers stay a while after a task, since each new goroutine grows its stack again.
type Pool struct {
	Max int // tasks at once

	once  sync.Once
	pond  pond.Pool
	tasks chan func()
	over  chan struct{} // closed by stop
	stop  func()
}

func (p *Pool) init() {
	p.once.Do(func() {
		p.pond = pond.NewPool(p.Max, pond.WithQueueSize(0), pond.WithNonBlocking(true))
		p.tasks, p.over = make(chan func()), make(chan struct{})
		p.stop = sync.OnceFunc(func() { close(p.over) })
	})
}

// Go runs task on an idle worker or a new one; the error is pond's, for a pool that is full or stopped.
func (p *Pool) Go(task func()) error {
	p.init()
	select {
	case <-p.over:
		return pond.ErrPoolStopped
	case p.tasks <- task:
		return nil
	default:
		return p.pond.Go(func() { p.work(task) })
	}
}

func (p *Pool) work(task func()) {
	idle := time.NewTimer(idleTime)
	defer idle.Stop()
	for {
		task()
		idle.Reset(idleTime)
		select {
		case task = <-p.tasks:
		case <-idle.C:
			return
		case <-p.over:
			return
		}
	}
}

// StopAndWait refuses further tasks and waits for those that run.
func (p *Pool) StopAndWait() {
	p.init()
	p.stop()
	p.pond.StopAndWait()
}

// Workers returns how many workers run or wait for a task.
func (p *Pool) Workers() int64 {
	p.init()
	return p.pond.RunningWorkers()
}
