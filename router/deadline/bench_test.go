package deadline_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/deadline"
)

// BenchmarkPlan measures the time of a call of Plan and the heap bytes used per
// stage of a pipeline.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{2, 17, 170} {
		b.Run(fmt.Sprintf("pipelines=%d", n), func(b *testing.B) {
			const stages = 6
			pipelines := make([]bundle.Pipeline, n)
			for i := range pipelines {
				pipelines[i] = bundle.Pipeline{ID: fmt.Sprint("p", i), Stages: make([]bundle.Stage, stages)}
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			budgets := deadline.New(clock.NewManual(start))
			for _, p := range pipelines {
				for k := range stages {
					for range 32 {
						budgets.Observe(p.ID, k, time.Millisecond)
					}
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := budgets.Plan(pipelines[i%n], 0, start, start.Add(time.Second)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n*stages), "B/stage")
		})
	}
}
