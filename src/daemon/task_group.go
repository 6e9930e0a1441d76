package daemon

import (
	"context"
	"sync"
)

// taskGroup is a group of goroutines that are stopped together.
type taskGroup struct {
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	onError func(error)
}

// newTaskGroup returns a group whose context carries the values of ctx and ends only at stop; onError is called with the error of each task that fails.
func newTaskGroup(ctx context.Context, onError func(error)) *taskGroup {
	g := &taskGroup{onError: onError}
	g.ctx, g.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return g
}

// start runs a task in a new goroutine.
func (g *taskGroup) start(run func(context.Context) error) {
	g.wg.Go(func() {
		if err := run(g.ctx); err != nil {
			g.onError(err)
		}
	})
}

// stop cancels the context of the tasks and waits until they have returned.
func (g *taskGroup) stop() {
	g.cancel()
	g.wg.Wait()
}
