package dispatch

import "math"

// chunkPart is a part of a body in chunks.
type chunkPart uint8

const (
	chunkSize chunkPart = iota
	chunkExtension
	chunkData
	chunkDataEnd
	chunkTrailer
	chunkEnd // of the body
)

// chunkScanner finds the end of a body in chunks, in the bytes read from a caller. The HTTP server
// checks the body itself; what is not well-formed has no end here.
type chunkScanner struct {
	part chunkPart
	size int64 // of the chunk, or of what is left of its data
	text bool  // the line of the trailer has text
}

// scan returns the number of bytes up to the end of the body, all if it does not end there or has
// ended before.
func (s *chunkScanner) scan(b []byte) int {
	for i := 0; i < len(b); {
		if s.part == chunkData {
			n := int(min(s.size, int64(len(b)-i)))
			i += n
			if s.size -= int64(n); s.size == 0 {
				s.part = chunkDataEnd
			}
			continue
		}
		c := b[i]
		i++
		switch s.part {
		case chunkSize, chunkExtension:
			s.scanSize(c)
		case chunkDataEnd:
			if c == '\n' {
				s.part = chunkSize
			}
		case chunkTrailer:
			switch {
			case c == '\n' && !s.text:
				s.part = chunkEnd
				return i
			case c == '\n':
				s.text = false
			case c != '\r':
				s.text = true
			}
		default:
			return len(b)
		}
	}
	return len(b)
}

// scanSize scans one byte of the line that states the size of a chunk.
func (s *chunkScanner) scanSize(c byte) {
	digit := int64(-1)
	switch {
	case c == '\n' && s.size == 0:
		s.part = chunkTrailer
		return
	case c == '\n':
		s.part = chunkData
		return
	case c == ';':
		s.part = chunkExtension
	case '0' <= c && c <= '9':
		digit = int64(c - '0')
	case 'a' <= c && c <= 'f':
		digit = int64(c-'a') + 10
	case 'A' <= c && c <= 'F':
		digit = int64(c-'A') + 10
	}
	if s.part == chunkSize && digit >= 0 && s.size <= (math.MaxInt64-digit)/16 {
		s.size = 16*s.size + digit
	}
}
