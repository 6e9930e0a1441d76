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
	lengthSize = 4 // bytes of the length field: big endian, counts the kind and the body
	headerSize = lengthSize + 1
)

// appendFrame appends a frame of kind k with body m to b.
func appendFrame(b []byte, k wire.FrameKind, m msgp.Marshaler) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(k))
	b, _ = m.MarshalMsg(b) // writes to memory and cannot fail
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthSize))
	return b
}

// appendData appends a data frame without allocating.
func appendData(b []byte, call uint64, p []byte) []byte {
	f := wire.DataFrame{Call: call, Bytes: p}
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(wire.FrameData))
	b, _ = f.MarshalMsg(b)
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthSize))
	return b
}

// frameReader splits a byte stream into frames. After a read timeout it can be used again.
type frameReader struct {
	r     io.Reader
	buf   []byte
	start int // offset of the first unparsed byte in buf
	end   int // offset after the last byte read into buf
}

// next returns the next frame. The body is valid until the next call.
func (f *frameReader) next() (wire.FrameKind, []byte, error) {
	for {
		kind, body, ok, err := f.parse()
		if ok || err != nil {
			return kind, body, err
		}
		n, err := f.r.Read(f.buf[f.end:])
		f.end += n
		if n == 0 && err != nil {
			return 0, nil, f.eofError(err)
		}
	}
}

// hasBuffered reports whether part of a frame is buffered.
func (f *frameReader) hasBuffered() bool { return f.end > f.start }

// releaseBuffer frees a large buffer that is empty.
func (f *frameReader) releaseBuffer() {
	if !f.hasBuffered() && len(f.buf) > readBufferSize {
		f.buf, f.start, f.end = nil, 0, 0
	}
}

// parse returns a complete frame from the buffer or, with false, makes room for the rest of it.
func (f *frameReader) parse() (wire.FrameKind, []byte, bool, error) {
	need := headerSize
	if f.end-f.start >= lengthSize {
		n := binary.BigEndian.Uint32(f.buf[f.start:])
		if n == 0 || n > maxFrameSize {
			return 0, nil, false, problem.New(problem.Protocol, "frame", fmt.Sprintf("length %d is not between 1 and %d", n, maxFrameSize), "check that both ends are daemons of this project")
		}
		need = lengthSize + int(n)
	}
	if f.end-f.start >= need && need > lengthSize && f.end-f.start >= headerSize {
		frame := f.buf[f.start : f.start+need]
		f.start += need
		return wire.FrameKind(frame[lengthSize]), frame[headerSize:], true, nil
	}
	f.makeRoom(need)
	return 0, nil, false, nil
}

// makeRoom ensures that the buffer can hold need bytes from the start of a frame.
func (f *frameReader) makeRoom(need int) {
	if f.start > 0 {
		copy(f.buf, f.buf[f.start:f.end])
		f.end -= f.start
		f.start = 0
	}
	size := max(readBufferSize, need)
	if f.end > 0 && need > readBufferSize {
		size = need + readBufferSize
	}
	if len(f.buf) < size {
		grown := make([]byte, size)
		copy(grown, f.buf[:f.end])
		f.buf = grown
	}
}

// eofError turns an EOF within a frame into io.ErrUnexpectedEOF.
func (f *frameReader) eofError(err error) error {
	if errors.Is(err, io.EOF) && f.hasBuffered() {
		return io.ErrUnexpectedEOF
	}
	return err
}
