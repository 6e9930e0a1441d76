package dispatch

import (
	"bytes"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
)

// gatedReader returns bytes that arrive when gate is closed.
type gatedReader struct {
	r      io.Reader
	waits  chan struct{} // closed when a read waits
	gate   chan struct{}
	passed bool
}

// Read implements io.Reader.
func (g *gatedReader) Read(p []byte) (int, error) {
	if !g.passed {
		g.passed = true
		close(g.waits)
		<-g.gate
	}
	return g.r.Read(p)
}

// pattern returns n bytes of a body, no two parts of which look alike.
func pattern(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i * 2654435761 >> 16)
	}
	return b
}

// A call whose first attempt is refused while bytes of its body are arriving is sent again with the whole body:
// the read that the first attempt has begun returns bytes that the second attempt needs.
func TestRequestBodyReadOverlapsNextAttempt(t *testing.T) {
	const chunk = 16 << 10
	tests := map[string]struct {
		buffered    int // bytes that arrived before the call was dispatched
		alreadyRead int // bytes that the second attempt reads before the read of the first one returns
	}{
		"second attempt has read nothing":                  {buffered: prefetchSize},
		"second attempt has read all that is buffered":     {buffered: prefetchSize, alreadyRead: prefetchSize},
		"bytes of the overlapping read fit in the buffer":  {buffered: prefetchSize - chunk, alreadyRead: prefetchSize - chunk},
		"second attempt has read a part of what is there":  {buffered: prefetchSize, alreadyRead: chunk},
		"buffer would overflow by a part of the next read": {buffered: prefetchSize - chunk/2, alreadyRead: chunk},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sent := pattern(tc.buffered + 2*chunk)
			src := &gatedReader{r: bytes.NewReader(sent[tc.buffered:]), waits: make(chan struct{}), gate: make(chan struct{})}
			b := &requestBody{size: int64(len(sent)), source: src, buffered: sent[:tc.buffered:tc.buffered], bytesRead: int64(tc.buffered)}

			first := b.newReader()
			_, err := io.ReadFull(first, make([]byte, tc.buffered))
			c.Assert(err, qt.IsNil)
			ended := make(chan error)
			go func() {
				_, err := first.Read(make([]byte, chunk))
				ended <- err
			}()
			<-src.waits

			c.Assert(b.isConsumed(), qt.IsFalse) // so the core sends the call again
			second := b.newReader()
			got := make([]byte, tc.alreadyRead)
			_, err = io.ReadFull(second, got)
			c.Assert(err, qt.IsNil)
			close(src.gate)
			c.Assert(<-ended, qt.ErrorIs, errReaderInvalid)
			rest, err := io.ReadAll(second)
			c.Assert(err, qt.IsNil)
			c.Assert(bytes.Equal(append(got, rest...), sent), qt.IsTrue)
		})
	}
}

// A reader that starts after a part of the body has been dropped fails, since it could only read the rest.
func TestRequestBodyConsumed(t *testing.T) {
	c := qt.New(t)
	sent := pattern(prefetchSize + 10)
	b := &requestBody{size: int64(len(sent)), source: bytes.NewReader(sent[prefetchSize:]), buffered: sent[:prefetchSize:prefetchSize], bytesRead: prefetchSize}
	_, err := io.ReadFull(b.newReader(), make([]byte, prefetchSize+5))
	c.Assert(err, qt.IsNil)
	c.Assert(b.isConsumed(), qt.IsTrue)
	n, err := b.newReader().Read(make([]byte, 10))
	c.Assert(n, qt.Equals, 0)
	c.Assert(err, qt.ErrorIs, errReaderInvalid)
}
