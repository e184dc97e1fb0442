package stage

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/target"
	"github.com/matryer/is"
)

// TestRunnerWithLimitGetsItInBatchesAlone guards against batches that don't count against
// the limit that their runner named, and against other calls that use it up.
func TestRunnerWithLimitGetsItInBatchesAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk := clock.System()
		b := &fakeRunners{}
		w := testPools(t, b, 2)
		stop := startPools(t, w)
		limited := b.current.Load().Runners["r0"]
		b.set.Observe(limited, target.Notice{Limit: 2})
		var group sync.WaitGroup
		for n := range 60 {
			group.Go(func() {
				results := w.Make(t.Context(), testOrder(fmt.Sprint("c", n), 2, 2*time.Second, 4*time.Second))
				w.Free(testShard, results)
			})
			is.NoErr(clk.Sleep(t.Context(), 100*time.Millisecond))
		}
		group.Wait()
		is.NoErr(clk.Sleep(t.Context(), time.Second))
		stop()
		counts := make(map[string]int)
		for _, id := range b.calledRunners {
			counts[id]++
		}
		t.Logf("batches %v, results freed %d of %d", counts, len(b.freed), b.results)
		is.True(counts["r0"] >= 5 && counts["r0"] <= 13) // two a second for 6 s
		is.True(counts["r1"] > counts["r0"])
		is.True(len(b.freed) > 0 && len(b.freed) < b.results)
		is.Equal(len(slices.Compact(slices.Sorted(slices.Values(b.freed)))), len(b.freed))
	})
}
