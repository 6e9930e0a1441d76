package link

import (
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
)

func BenchmarkCallSmall(b *testing.B) { benchmarkCall(b, 256, 1) }

func BenchmarkCallSmallParallel(b *testing.B) { benchmarkCall(b, 256, 16) } // 16 goroutines per CPU

func BenchmarkCallMegabyte(b *testing.B) { benchmarkCall(b, 1<<20, 1) }

func benchmarkCall(b *testing.B, size, parallel int) {
	to, _ := startPool(b, &Pool{Self: 2, Calls: callHandlerFunc(echo)})
	p := startClient(b)
	body := make([]byte, size)
	ctx := testContext(b)
	_, _, err := call(ctx, p, to, body)
	qt.Assert(b, err, qt.IsNil)
	b.SetBytes(int64(size))
	b.ReportAllocs()
	b.SetParallelism(parallel)
	b.ResetTimer()
	if parallel == 1 {
		for b.Loop() {
			benchmarkCallOnce(b, p, to, body)
		}
		return
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			benchmarkCallOnce(b, p, to, body)
		}
	})
}

func benchmarkCallOnce(b *testing.B, p *Pool, to Peer, body []byte) {
	got, out, err := call(b.Context(), p, to, body)
	if r, ok := out.(Reply); !ok || err != nil || len(got) != len(body) {
		b.Fatal(r, err)
	}
}

// BenchmarkIdleLinks reports the memory that one end of a link holds while it is idle.
func BenchmarkIdleLinks(b *testing.B) {
	const links = 400
	to, _ := startPool(b, &Pool{Self: 2, Calls: callHandlerFunc(echo)})
	before := memoryInUse()
	for range links {
		p := startClient(b)
		_, _, err := call(b.Context(), p, to, make([]byte, 256))
		qt.Assert(b, err, qt.IsNil)
	}
	used := memoryInUse() - before
	for b.Loop() { // only the metric is of interest
		runtime.KeepAlive(to)
	}
	b.ReportMetric(float64(used)/links/2, "bytes/end")
}

func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
