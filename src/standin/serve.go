package standin

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const shutdownTimeout = 2 * time.Second

// serve runs a server until ctx is over and its connections are closed.
func serve(ctx context.Context, s *fasthttp.Server, ln net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(ln) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := s.ShutdownWithContext(stop)
	return errors.Join(err, <-failed)
}
