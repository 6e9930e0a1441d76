package link

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func BenchmarkCallSmall(b *testing.B) { benchmarkCall(b, 256, 1) }

func BenchmarkCallSmallParallel(b *testing.B) { benchmarkCall(b, 256, 16) }

func BenchmarkCallMegabyte(b *testing.B) { benchmarkCall(b, 1<<20, 1) }

func benchmarkCall(b *testing.B, size, parallel int) {
	to, _ := startPool(b, &Pool{Self: 2, Calls: serveFunc(echo)})
	p := startClient(b)
	body := make([]byte, size)
	ctx := guarded(b)
	_, _, err := call(ctx, p, to, body)
	qt.Assert(b, err, qt.IsNil)
	b.SetBytes(int64(size))
	b.ReportAllocs()
	b.SetParallelism(parallel)
	b.ResetTimer()
	if parallel == 1 {
		for b.Loop() {
			benchmarkOne(b, p, to, body)
		}
		return
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			benchmarkOne(b, p, to, body)
		}
	})
}

func benchmarkOne(b *testing.B, p *Pool, to Peer, body []byte) {
	got, out, err := call(b.Context(), p, to, body)
	if r, ok := out.(Reply); !ok || err != nil || len(got) != len(body) {
		b.Fatal(r, err)
	}
}
