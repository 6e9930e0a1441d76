package standin

import (
	"encoding/binary"
	"strings"

	"github.com/zeebo/xxh3"
)

// Body returns the answer to a read: a line that names the request, cut or filled up to size bytes; size 0 for the line alone.
func Body(method, path, token string, size int) []byte {
	line := strings.Join([]string{method, path, token}, " ") + "\n"
	if size <= 0 {
		return []byte(line)
	}
	b := make([]byte, 0, size+8)
	b = append(b, line...)
	for x := xxh3.HashString(line); len(b) < size; x = xxh3.Hash(b[len(b)-8:]) ^ x {
		b = binary.LittleEndian.AppendUint64(b, x)
	}
	return b[:size]
}
