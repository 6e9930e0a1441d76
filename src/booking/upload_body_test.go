package booking

import (
	"bufio"
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

func TestUploadReachesTheBackendServerUnchanged(t *testing.T) {
	const size = 200_000
	sent := make([]byte, size)
	for i := range sent {
		sent[i] = byte(i * 2654435761 >> 16)
	}
	tests := map[string]struct{ buffer, before int }{
		"nothing written before":  {buffer: 4096},
		"a head written before":   {buffer: 4096, before: 250},
		"a large write buffer":    {buffer: 16384, before: 250},
		"a head as large as that": {buffer: 512, before: 511},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var got bytes.Buffer
			w := bufio.NewWriterSize(&got, tc.buffer)
			_, err := w.Write(make([]byte, tc.before))
			c.Assert(err, qt.IsNil)
			// As fasthttp does for a body of a stated length: the writer reads into its own buffer.
			_, err = io.Copy(w, io.LimitReader(&uploadBody{r: iotest.HalfReader(bytes.NewReader(sent)), w: w}, size))
			c.Assert(err, qt.IsNil)
			c.Assert(w.Flush(), qt.IsNil)
			c.Assert(bytes.Equal(got.Bytes()[tc.before:], sent), qt.IsTrue)
		})
	}
}
