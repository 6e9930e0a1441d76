package booking

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/textproto"
	"slices"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/standin"
)

// An upload whose body is shorter or longer than the length stated for it is refused and not run.
func TestServeCallBodyOfOtherLength(t *testing.T) {
	tests := map[string]struct{ stated, arrived int64 }{
		"shorter":           {stated: 200_000, arrived: 183_616},
		"longer":            {stated: 200_000, arrived: 200_001},
		"without any bytes": {stated: 200_000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := startBackend(t, &standin.Backend{})
			s := startServer(t, b.Listener, 4, 8)
			in := newInbound("POST", "/photo", "t", bytes.NewReader(make([]byte, tc.arrived)), tc.stated).serve(t, s)
			c.Assert(in.refusal, qt.IsNotNil)
			c.Assert(in.refusal.MayHaveRun, qt.IsFalse)
			c.Assert(b.Runs.Count("t"), qt.Equals, 0)
			c.Assert(s.InFlight(), qt.Equals, 0)
		})
	}
}

// failingBody is a body that fails after its first bytes.
type failingBody struct{ first io.Reader }

var errBodyFailed = errors.New("link lost")

// Read implements io.Reader.
func (b failingBody) Read(p []byte) (int, error) {
	n, err := b.first.Read(p)
	if errors.Is(err, io.EOF) {
		err = errBodyFailed
	}
	return n, err
}

// startEarlyBackend starts a backend server that answers each request as soon as it has read the head, keeps the connection and takes what follows for the next head.
// It returns the listener and a function that returns the request lines seen so far.
func startEarlyBackend(tb testing.TB) (net.Listener, func() []string) {
	l := listen(tb)
	var mu sync.Mutex
	var lines []string
	var wg sync.WaitGroup
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r := textproto.NewReader(bufio.NewReader(c))
		for {
			line, err := r.ReadLine()
			if err != nil {
				return
			}
			mu.Lock()
			lines = append(lines, line)
			mu.Unlock()
			if _, err := r.ReadMIMEHeader(); err != nil {
				return
			}
			if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	}
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { serve(c) })
		}
	})
	tb.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return l, func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(lines)
	}
}

// A connection on which a short body was not sent completely is not used again, even if the backend server has answered early:
// it would take the next request for the rest of the body.
func TestServeCallEarlyAnswerToIncompleteBody(t *testing.T) {
	c := qt.New(t)
	l, lines := startEarlyBackend(t)
	s := startServer(t, l, 4, 1) // one connection, so that the next call would use the same one
	newInbound("POST", "/photo", "t", failingBody{strings.NewReader("half")}, 8).serve(t, s)
	c.Assert(newInbound("GET", "/diary", "t", nil, 0).serve(t, s).complete, qt.IsTrue)
	for _, line := range lines() {
		rest, isBody := strings.CutPrefix(line, "half")
		c.Check(isBody && rest != "", qt.IsFalse, qt.Commentf("%q", line))
	}
}
