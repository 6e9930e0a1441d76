package pack

import (
	"bytes"
	"encoding/binary"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/problem"
)

func TestPack(t *testing.T) {
	random := make([]byte, 4096)
	for i := range random {
		random[i] = byte(i * i * 2654435761 >> 11)
	}
	tests := map[string][]byte{
		"empty":      {},
		"short":      []byte("a short one"),
		"repetitive": bytes.Repeat([]byte("[[route]]\nname = \"diary\"\n"), 100),
		"random":     random,
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := Pack(b)
			c.Check(len(p) <= len(b)+1, qt.IsTrue)
			got, err := Unpack(p)
			c.Assert(err, qt.IsNil)
			c.Assert(bytes.Equal(got, b), qt.IsTrue)
		})
	}
}

func TestUnpackRefuses(t *testing.T) {
	tests := map[string][]byte{
		"nothing":            {},
		"unknown first byte": {7, 1, 2},
		"not compressed":     {packed, 0xff, 0xff, 0xff},
		"a bomb":             append([]byte{packed}, binary.AppendUvarint(nil, maxUnpacked+1)...),
		"cut":                Pack(bytes.Repeat([]byte("route"), 200))[:20],
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Unpack(b)
			qt.Assert(t, err, qt.ErrorIs, problem.Protocol)
		})
	}
}
