package link

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/tinylib/msgp/msgp"

	"github.com/yuccaport/yuccaport/src/problem"
	"github.com/yuccaport/yuccaport/src/wire"
)

const (
	lengthSize = 4 // bytes of a frame's length, big endian, which counts the kind and the body
	headerSize = lengthSize + 1
)

// appendFrame appends the frame of a kind with body m to b.
func appendFrame(b []byte, k wire.FrameKind, m msgp.Marshaler) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(k))
	b, _ = m.MarshalMsg(b) // writes to memory and cannot fail
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthSize))
	return b
}

// appendData appends a data frame without an allocation.
func appendData(b []byte, call uint64, p []byte) []byte {
	f := wire.DataFrame{Call: call, Bytes: p}
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(wire.FrameData))
	b, _ = f.MarshalMsg(b)
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthSize))
	return b
}

// frameReader cuts a byte stream into frames; a read that fails with a timeout can be repeated.
type frameReader struct {
	r     io.Reader
	buf   []byte
	start int
	end   int
}

// next returns the next frame; its body is valid until the following call.
func (f *frameReader) next() (wire.FrameKind, []byte, error) {
	for {
		kind, body, ok, err := f.cut()
		if ok || err != nil {
			return kind, body, err
		}
		n, err := f.r.Read(f.buf[f.end:])
		f.end += n
		if n == 0 && err != nil {
			return 0, nil, f.cutShort(err)
		}
	}
}

// buffered tells whether bytes of a frame are held.
func (f *frameReader) buffered() bool { return f.end > f.start }

// release drops the buffer when nothing is held in it.
func (f *frameReader) release() {
	if !f.buffered() && len(f.buf) > readBuffer {
		f.buf, f.start, f.end = nil, 0, 0
	}
}

// cut takes one whole frame from the buffer, or makes room for the rest of it.
func (f *frameReader) cut() (wire.FrameKind, []byte, bool, error) {
	need := headerSize
	if f.end-f.start >= lengthSize {
		n := binary.BigEndian.Uint32(f.buf[f.start:])
		if n == 0 || n > maxFrame {
			return 0, nil, false, problem.New(problem.Protocol, "frame", fmt.Sprintf("length %d is not between 1 and %d", n, maxFrame), "check that both ends are daemons of this project")
		}
		need = lengthSize + int(n)
	}
	if f.end-f.start >= need && need > lengthSize && f.end-f.start >= headerSize {
		frame := f.buf[f.start : f.start+need]
		f.start += need
		return wire.FrameKind(frame[lengthSize]), frame[headerSize:], true, nil
	}
	f.room(need)
	return 0, nil, false, nil
}

func (f *frameReader) room(need int) {
	if f.start > 0 {
		copy(f.buf, f.buf[f.start:f.end])
		f.end -= f.start
		f.start = 0
	}
	size := max(readBuffer, need)
	if f.end > 0 && need > readBuffer {
		size = need + readBuffer
	}
	if len(f.buf) < size {
		grown := make([]byte, size)
		copy(grown, f.buf[:f.end])
		f.buf = grown
	}
}

func (f *frameReader) cutShort(err error) error {
	if errors.Is(err, io.EOF) && f.buffered() {
		return io.ErrUnexpectedEOF
	}
	return err
}
