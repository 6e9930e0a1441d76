package pack

import (
	"github.com/klauspost/compress/s2"

	"github.com/yuccaport/yuccaport/src/problem"
)

const (
	maxUnpacked = 32 << 20 // bytes of one message
	minPacked   = 128      // shorter messages are sent as they are
)

// The first byte of a message that carries documents.
const (
	plain  byte = 0
	packed byte = 1
)

// Pack compresses a message unless that makes it longer.
func Pack(b []byte) []byte {
	if len(b) >= minPacked {
		out := make([]byte, 1+s2.MaxEncodedLen(len(b)))
		out[0] = packed
		if n := len(s2.EncodeBetter(out[1:], b)); n < len(b) {
			return out[:1+n]
		}
	}
	return append([]byte{plain}, b...)
}

// Unpack returns the message that Pack was given; an error is of kind problem.Protocol.
func Unpack(b []byte) ([]byte, error) {
	if len(b) == 0 {
		return nil, unreadable("it is empty")
	}
	switch body := b[1:]; b[0] {
	case plain:
		return body, nil
	case packed:
		// The length is looked at first, so that a small message cannot ask for a lot of memory.
		if n, err := s2.DecodedLen(body); err != nil || n > maxUnpacked {
			return nil, unreadable("its length is not usable")
		}
		out, err := s2.Decode(nil, body)
		if err != nil {
			return nil, unreadable(err.Error())
		}
		return out, nil
	}
	return nil, unreadable("its first byte is unknown")
}

func unreadable(why string) error {
	return problem.New(problem.Protocol, "message", "cannot be unpacked: "+why, "run the same release on all daemons")
}
