package daemon

import (
	"context"
	"sync"
)

// stage is a set of duties that are stopped together.
type stage struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	failed func(error)
}

// newStage returns a stage that outlives ctx until it is stopped; failed hears of a duty that ends with an error.
func newStage(ctx context.Context, failed func(error)) *stage {
	s := &stage{failed: failed}
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return s
}

func (s *stage) start(run func(context.Context) error) {
	s.wg.Go(func() {
		if err := run(s.ctx); err != nil {
			s.failed(err)
		}
	})
}

// stop ends the duties and waits for them.
func (s *stage) stop() {
	s.cancel()
	s.wg.Wait()
}
