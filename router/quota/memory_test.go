package quota_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/router/quota"
)

// liveBytes returns the size of the live heap objects.
func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory measures the bytes that an instance holds for each recently
// seen team, and those that an owner holds for each team and reporting
// instance.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 10_000, 41_000} {
		teams := make([]bundle.Team, n)
		for i := range teams {
			teams[i] = bundle.Team{ID: fmt.Sprintf("team-%05d", i), RatePerSecond: 10}
		}
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			var q quota.Limiter
			before := liveBytes()
			for range b.N {
				q = quota.New()
				for _, t := range teams {
					q.Allow(t, start)
				}
			}
			withTeams := liveBytes()
			for _, r := range q.EndPeriod(start.Add(time.Second)) {
				for k := range 5 {
					r.From = fmt.Sprint("instance-", k)
					q.RecordReport(r, start)
				}
			}
			b.ReportMetric(float64(withTeams-before)/float64(n), "B/team")
			b.ReportMetric(float64(liveBytes()-withTeams)/float64(n)/5, "B/report")
			runtime.KeepAlive(q)
		})
	}
}

func BenchmarkAllow(b *testing.B) {
	for _, n := range []int{5, 1000, 41_000} {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			teams := make([]bundle.Team, n)
			for i := range teams {
				teams[i] = bundle.Team{ID: fmt.Sprintf("team-%05d", i), RatePerSecond: 1e9}
			}
			q := quota.New()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Allow(teams[i%n], start)
			}
		})
	}
}
