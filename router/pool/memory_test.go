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

// BenchmarkMemory reports the heap bytes per runner, including the runner's
// description in the bundle.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{150, 500, 1500} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			before := liveBytes()
			var p Pools
			for range b.N {
				p, _ = benchPools(n)
			}
			b.ReportMetric(float64(liveBytes()-before)/float64(n), "B/runner")
			runtime.KeepAlive(p)
		})
	}
}
