package pack

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/yuccaport/yuccaport/src/problem"
)

// routes returns a document of n routes with random names, as a configuration has.
func routes(n int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	var b []byte
	for i := range n {
		b = fmt.Appendf(b, "{name:r%d host:%08x.example prefix:/%06x/%x kind:safe timeout_ms:%d objective_ms:%d}\n", i, rng.Uint32(), rng.Uint32(), rng.Uint32(), rng.IntN(3000), rng.IntN(900))
	}
	return b
}

// A delta must be small where little differs, since a full copy takes seconds over slow links, and
// must give the target back in every case.
func TestDelta(t *testing.T) {
	document := routes(1600)
	edited := bytes.Replace(document, []byte("name:r700 "), []byte("name:other "), 1)
	spread := append([]byte("version 2 "), edited...)
	for _, i := range []int{3, 400, 900, 1500} {
		spread = bytes.Replace(spread, fmt.Appendf(nil, "name:r%d host:", i), fmt.Appendf(nil, "name:r%d added:%d host:", i, i*i), 1)
	}
	half := len(document) / 2
	tests := map[string]struct {
		base, target []byte
		limit        int
	}{
		"one route":           {document, edited, 64},
		"routes all over":     {document, spread, 2 << 10},
		"equal":               {document, document, 32},
		"no base":             {nil, document, len(document)},
		"nothing left":        {document, nil, 32},
		"halves exchanged":    {document, append(bytes.Clone(document[half:]), document[:half]...), 2 << 10},
		"routes appended":     {document[:half], document, len(document) / 2},
		"short":               {[]byte("a"), []byte("b"), 32},
		"repeated suffix":     {[]byte("aaaa"), []byte("aaaaaa"), 32},
		"repeated and prefix": {[]byte("abab"), []byte("ababab"), 32},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			delta := Delta(tc.base, tc.target)
			t.Logf("%d bytes", len(delta))
			c.Check(len(delta) <= tc.limit, qt.IsTrue, qt.Commentf("%d bytes", len(delta)))
			got, err := Patch(tc.base, delta)
			c.Assert(err, qt.IsNil)
			c.Check(bytes.Equal(got, tc.target), qt.IsTrue)
		})
	}
}

// A delta from a peer must not panic or return unbounded memory, whatever its base.
func TestPatchRefuses(t *testing.T) {
	document := routes(50)
	delta := Delta(document, append([]byte("v2"), document...))
	tests := map[string]struct{ base, delta []byte }{
		"nothing":       {document, nil},
		"another base":  {document[:10], Delta(document, document[:len(document)-20])},
		"cut":           {document, delta[:len(delta)-3]},
		"overflow":      {document, []byte{1, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1}},
		"not a frame":   {document, []byte{0, 0, 1, 2, 3}},
		"prefix beyond": {document, []byte{255, 255, 3, 0}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Patch(tc.base, tc.delta)
			qt.Assert(t, err, qt.ErrorIs, problem.Protocol)
		})
	}
}

func BenchmarkDelta(b *testing.B) {
	document := routes(1600)
	target := append([]byte("version 2 "), bytes.Replace(document, []byte("name:r700 "), []byte("name:other "), 1)...)
	b.Run("Pack", func(b *testing.B) {
		for b.Loop() {
			Pack(target)
		}
	})
	b.Run("Delta", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			Delta(document, target)
		}
	})
	delta := Delta(document, target)
	b.Run("Patch", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = Patch(document, delta)
		}
	})
}
