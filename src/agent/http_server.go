package agent

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// httpCloseTimeout bounds the wait for the requests in progress when a server of serveHTTP stops.
const httpCloseTimeout = 300 * time.Millisecond

// serveHTTP serves HTTP on a listener until ctx is done, then finishes the requests in progress within httpCloseTimeout.
func serveHTTP(ctx context.Context, l net.Listener, h fasthttp.RequestHandler) error {
	s := &fasthttp.Server{Handler: h, Name: "yuccaport", NoDefaultServerHeader: true, NoDefaultDate: true, ReadBufferSize: 4 << 10, CloseOnShutdown: true}
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	_ = l.Close() // Serve may not have begun
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), httpCloseTimeout)
	defer cancel()
	_ = s.ShutdownWithContext(stopCtx) // an error only tells that connections are still open
	return nil
}
