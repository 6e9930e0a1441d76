package agent

import (
	"context"
	"io"
	"log"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Bounds of a server of serveHTTP, whose requests have short bodies or none.
const (
	httpCloseTimeout   = 300 * time.Millisecond // for the requests in progress when it stops
	httpConnections    = 128                    // at once; further ones are answered 503
	httpBodyBytes      = 16 << 10               // of a request
	httpReadTimeout    = 5 * time.Second        // for a whole request
	httpWriteTimeout   = 5 * time.Second        // for a whole answer
	httpIdleTimeout    = time.Minute            // of a connection without a request
	httpReadBufferSize = 4 << 10                // bytes; a header must fit in it
)

// serveHTTP serves HTTP on a listener until ctx is done, then finishes the requests in progress within httpCloseTimeout.
func serveHTTP(ctx context.Context, l net.Listener, h fasthttp.RequestHandler) error {
	s := &fasthttp.Server{
		Handler: h, Name: "yuccaport", NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true, Logger: log.New(io.Discard, "", 0),
		Concurrency: httpConnections, ReadBufferSize: httpReadBufferSize, MaxRequestBodySize: httpBodyBytes,
		ReadTimeout: httpReadTimeout, WriteTimeout: httpWriteTimeout, IdleTimeout: httpIdleTimeout,
	}
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
