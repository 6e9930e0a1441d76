package booking

import (
	"bufio"
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// An upload reaches the backend server unchanged, whatever was written to the connection before and however large the write buffer is.
func TestUploadBody(t *testing.T) {
	const size = 200_000
	sent := make([]byte, size)
	for i := range sent {
		sent[i] = byte(i * 2654435761 >> 16)
	}
	tests := map[string]struct{ buffer, before int }{
		"empty write buffer":                 {buffer: 4096},
		"head in the write buffer":           {buffer: 4096, before: 250},
		"large write buffer":                 {buffer: 16384, before: 250},
		"head almost fills the write buffer": {buffer: 512, before: 511},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var got bytes.Buffer
			w := bufio.NewWriterSize(&got, tc.buffer)
			_, err := w.Write(make([]byte, tc.before))
			c.Assert(err, qt.IsNil)
			// As in fasthttp for a body with a Content-Length: the writer reads into its own buffer.
			_, err = io.Copy(w, io.LimitReader(&uploadBody{r: iotest.HalfReader(bytes.NewReader(sent)), w: w}, size))
			c.Assert(err, qt.IsNil)
			c.Assert(w.Flush(), qt.IsNil)
			c.Assert(bytes.Equal(got.Bytes()[tc.before:], sent), qt.IsTrue)
		})
	}
}
