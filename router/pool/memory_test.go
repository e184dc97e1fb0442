//go:build !race

package pool

import (
	"fmt"
	"runtime"
	"testing"
)

// liveBytes returns the bytes of live objects.
func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory gives the bytes that the pools hold for each runner, the
// runners' rows of the bundle included.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{150, 500, 1500} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			before := liveBytes()
			var p Pools
			for range b.N {
				p, _ = loaded(n)
			}
			b.ReportMetric(float64(liveBytes()-before)/float64(n), "B/runner")
			runtime.KeepAlive(p)
		})
	}
}
