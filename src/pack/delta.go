package pack

import (
	"bytes"
	"encoding/binary"

	"github.com/klauspost/compress/zstd"
)

// deltaDictionary is the ID that marks the base as the dictionary of a delta.
const deltaDictionary = 1

// maxMatched is the largest middle part, of the base or of the target, that is compressed against the
// other version. It bounds the encoder's memory to about four times as much.
const maxMatched = 4 << 20

// Delta returns what turns base into target, or nil if the two are too large for it. The common
// prefix and suffix are counted, the rest is compressed with that part of base as its dictionary.
func Delta(base, target []byte) []byte {
	prefix := commonPrefix(base, target)
	suffix := commonSuffix(base[prefix:], target[prefix:])
	from, to := base[prefix:len(base)-suffix], target[prefix:len(target)-suffix]
	if max(len(from), len(to)) > maxMatched {
		return nil
	}
	out := binary.AppendUvarint(nil, uint64(prefix))
	out = binary.AppendUvarint(out, uint64(suffix))
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderCRC(false),
		zstd.WithWindowSize(windowSize(len(from) + len(to))),
	}
	if len(from) >= minPacked {
		options = append(options, zstd.WithEncoderDictRaw(deltaDictionary, from))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil
	}
	defer func() { _ = e.Close() }()
	return e.EncodeAll(to, out)
}

// Patch returns the target of a delta from base; an error is of kind problem.Protocol.
func Patch(base, delta []byte) ([]byte, error) {
	prefix, n := binary.Uvarint(delta)
	if n <= 0 || prefix > uint64(len(base)) {
		return nil, unreadable("its delta is not for this base")
	}
	delta = delta[n:]
	suffix, n := binary.Uvarint(delta)
	if n <= 0 || suffix > uint64(len(base))-prefix {
		return nil, unreadable("its delta is not for this base")
	}
	from := base[prefix : uint64(len(base))-suffix]
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpacked)}
	if len(from) >= minPacked {
		options = append(options, zstd.WithDecoderDictRaw(deltaDictionary, from))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, unreadable(err.Error())
	}
	defer d.Close()
	middle, err := d.DecodeAll(delta[n:], nil)
	if err != nil {
		return nil, unreadable(err.Error())
	}
	return bytes.Join([][]byte{base[:prefix], middle, base[uint64(len(base))-suffix:]}, nil), nil
}

// windowSize returns the smallest window of the encoder, a power of two, that reaches n bytes back.
func windowSize(n int) int {
	size := zstd.MinWindowSize
	for size < n {
		size *= 2
	}
	return size
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}
