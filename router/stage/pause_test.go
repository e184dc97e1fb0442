package stage

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/target"
	"github.com/matryer/is"
)

// TestRunnersThatTakeNoCallsGetNoBatches sends orders for 6 s to three runners, one of
// which leaves, or asks for a pause of a second with each answer.
func TestRunnersThatTakeNoCallsGetNoBatches(t *testing.T) {
	for name, notice := range map[string]target.Notice{"leaving": {Leaving: true}, "paused": {Pause: time.Second}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := &fakeRunners{refuse: map[string]bool{"r0": notice.Pause > 0}}
				w := testPools(t, b, 3)
				defer startPools(t, w)()
				var mu sync.Mutex
				var calls []time.Time
				b.observe = func(r *inventory.Runner) {
					if r.ID == "r0" {
						mu.Lock()
						calls = append(calls, clock.System().Now())
						mu.Unlock()
						b.set.Observe(r, notice)
					}
				}
				var group sync.WaitGroup
				for i := range 120 {
					group.Go(func() {
						is.Equal(countMade(w.Make(t.Context(), testOrder(fmt.Sprint("c", i), 2, 2*time.Second, 6*time.Second))), 2)
					})
					_ = clock.System().Sleep(t.Context(), 50*time.Millisecond)
				}
				group.Wait()
				mu.Lock()
				defer mu.Unlock()
				if notice.Leaving {
					is.Equal(len(calls), 1)
					return
				}
				is.True(len(calls) >= 5) // it gets batches again after each pause
				for i := range calls[1:] {
					is.True(calls[i+1].Sub(calls[i]) >= time.Second)
				}
			})
		})
	}
}

func TestNoBatchToRunnerThatPausesDuringConnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &fakeRunners{}
		paused := ""
		b.connect = func(r *inventory.Runner) {
			if paused == "" {
				paused = r.ID
				b.set.Observe(r, target.Notice{Pause: time.Minute})
			}
		}
		w := testPools(t, b, 2)
		defer startPools(t, w)()
		is.Equal(countMade(w.Make(t.Context(), testOrder("a", 2, 2*time.Second, 3*time.Second))), 2)
		is.Equal(len(b.calledRunners), 1)
		is.True(b.calledRunners[0] != paused)
	})
}

// TestPiecesDontWaitForPausesBeyondTheirDeadline has all runners pause.
func TestPiecesDontWaitForPausesBeyondTheirDeadline(t *testing.T) {
	for _, c := range []struct{ pause, took time.Duration }{
		{5 * time.Second, 0},
		{2900 * time.Millisecond, 0},
		{500 * time.Millisecond, 500 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := &fakeRunners{}
			w := testPools(t, b, 2)
			defer startPools(t, w)()
			for i, r := range b.set.Usable(testService) {
				b.set.Observe(r.Runner(), target.Notice{Pause: c.pause + time.Duration(i)*time.Minute})
			}
			start := clock.System().Now()
			results := w.Make(t.Context(), testOrder("a", 2, 2*time.Second, 3*time.Second))
			took := clock.System().Now().Sub(start)
			if c.took == 0 {
				is.Equal(results[0].Failure, Late)
				is.Equal(took, time.Duration(0))
				return
			}
			is.Equal(countMade(results), 2)
			is.True(took >= c.took && took < c.took+300*time.Millisecond)
		})
	}
}

func TestForecastsCountPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &fakeRunners{}
		w := testPools(t, b, 2)
		defer startPools(t, w)()
		now := clock.System().Now()
		reserve := func(id string) Forecast {
			return w.Reserve(t.Context(), Reservation{ID: id, Shard: testShard, Pieces: 1, EarliestArrival: now, Due: now.Add(2 * time.Second), Deadline: now.Add(6 * time.Second)})
		}
		for _, r := range b.set.Usable(testService) {
			is.True(!reserve("before").Refused)
			b.set.Observe(r.Runner(), target.Notice{Pause: 4 * time.Second})
		}
		f := reserve("after")
		is.True(f.Refused)
		is.True(f.Wait >= 4*time.Second) // refused callers learn when to retry
	})
}

// TestPausedRunnersAreNotAskedToFreeResults checks that their results are freed after
// the pause.
func TestPausedRunnersAreNotAskedToFreeResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &fakeRunners{}
		w := testPools(t, b, 1)
		defer startPools(t, w)()
		results := w.Make(t.Context(), testOrder("a", 2, 2*time.Second, 3*time.Second))
		is.Equal(countMade(results), 2)
		b.set.Observe(b.set.Find("r0").Runner(), target.Notice{Pause: time.Second})
		w.Free(testShard, results)
		freed := func() int {
			b.mu.Lock()
			defer b.mu.Unlock()
			return len(b.freed)
		}
		_ = clock.System().Sleep(t.Context(), 900*time.Millisecond)
		is.Equal(freed(), 0)
		_ = clock.System().Sleep(t.Context(), 200*time.Millisecond)
		is.Equal(freed(), 2)
	})
}
