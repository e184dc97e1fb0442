package stage

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/rollout"
	"github.com/matryer/is"
)

// fakeRollouts keeps what is recorded, each answer as "route version took" or "route
// version failed".
type fakeRollouts struct {
	mu      sync.Mutex
	answers []string
	ended   []time.Duration
}

func (f *fakeRollouts) Answered(_, version, route string, failed bool, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	outcome := took.String()
	if failed {
		outcome = "failed"
	}
	f.answers = append(f.answers, fmt.Sprint(route, " ", version, " ", outcome))
}

func (f *fakeRollouts) Ended(_ string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = append(f.ended, took)
}

// TestBatchesAreRecordedByVersion guards against versions that are judged by the size of
// their batches or by what isn't due to them, and against faults that aren't seen.
func TestBatchesAreRecordedByVersion(t *testing.T) {
	fail := func(f Failure) func([]Timed) []Result {
		return func(batch []Timed) []Result {
			out := make([]Result, len(batch))
			out[0] = Result{Handle: "h", Runner: "r0"}
			for i := range out[1:] {
				out[1+i] = Result{Failure: f}
			}
			return out
		}
	}
	made := "pieces v1 100ms"
	for _, c := range []struct {
		name string
		b    *fakeRunners
		want []string
	}{
		{"good", &fakeRunners{}, []string{"batches v1 100ms", made, made, made}},
		{"slow", &fakeRunners{slowFactor: 3}, []string{"batches v1 300ms", made, made, made}},
		{"refused", &fakeRunners{refuse: map[string]bool{"r0": true}}, nil},
		{"input gone", &fakeRunners{outcome: fail(InputGone)}, []string{"batches v1 100ms", made}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &fakeRollouts{}
				c.b.rollouts, c.b.versions = r, map[string]string{"r0": "v1"}
				w := testPools(t, c.b, 1)
				stop := startPools(t, w)
				w.Make(t.Context(), testOrder("c", 3, time.Second, time.Second))
				stop()
				slices.Sort(r.answers)
				is := is.New(t)
				is.True(len(c.b.calledRunners) > 0)
				is.Equal(r.answers, c.want)
			})
		})
	}
	t.Run("failed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := &fakeRollouts{}
			w := testPools(t, &fakeRunners{outcome: fail(Failed), rollouts: r, versions: map[string]string{"r0": "v1"}}, 1)
			w.Make(t.Context(), testOrder("c", 2, 5*time.Second, 5*time.Second))
			w.Close(t.Context())
			is.Equal(r.answers[:3], []string{"batches v1 100ms", made, "pieces v1 failed"})
		})
	})
	t.Run("lost", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := &fakeRollouts{}
			w := testPools(t, &fakeRunners{fail: map[string]bool{"r0": true}, rollouts: r, versions: map[string]string{"r0": "v1"}}, 1)
			w.Make(t.Context(), testOrder("c", 2, 5*time.Second, 5*time.Second))
			w.Close(t.Context())
			is.Equal(r.answers, []string{"batches v1 failed", "batches v1 failed", "batches v1 failed"})
		})
	})
	t.Run("cold", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := &fakeRollouts{}
			b := &fakeRunners{rollouts: r}
			w := testPools(t, b, 1)
			s := *b.current.Load()
			s.Runners = map[string]*inventory.Runner{"r0": {ID: "r0", Service: testService, Zone: "z", Slots: 1, Cold: time.Hour, SeenAt: clock.System().Now()}}
			s.Revision.Number++
			b.current.Advance(&s)
			is.Equal(countMade(w.Make(t.Context(), testOrder("c", 3, time.Second, 2*time.Second))), 3)
			w.Close(t.Context())
			is.Equal(r.answers, nil)
		})
	})
}

// TestNeededResultsCountAsInFlight guards against a completed rollout with results at old
// runners that a call has yet to use.
func TestNeededResultsCountAsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &fakeRollouts{}
		b := &fakeRunners{rollouts: r, versions: map[string]string{"r0": "v1"}}
		w := testPools(t, b, 1)
		defer startPools(t, w)()
		inFlight := func() int64 { return b.set.RolloutUsage(testService, "v2").InFlight.Baseline }
		var results []Result
		var group sync.WaitGroup
		group.Go(func() { results = w.Make(t.Context(), testOrder("c", 3, time.Second, 2*time.Second)) })
		_ = clock.System().Sleep(t.Context(), 100*time.Millisecond)
		is.Equal(inFlight(), int64(1)) // the batch
		group.Wait()
		synctest.Wait()
		is.Equal(inFlight(), int64(3))
		w.Free(testShard, results[:2])
		is.Equal(inFlight(), int64(1))
		is.Equal(len(r.ended), 3) // the batch and two results
		_ = clock.System().Sleep(t.Context(), 5*time.Second)
		is.Equal(inFlight(), int64(0)) // the runner keeps it for 4 s
	})
}

// TestBatchesFollowTheShare guards against batches at an unproven version beyond its
// share, and against pieces that wait because its runners look idle.
func TestBatchesFollowTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &fakeRunners{rollouts: &fakeRollouts{}, versions: map[string]string{"r0": "v1", "r1": "v1", "r2": "v2", "r3": "v2"}}
		w := testPools(t, b, 4)
		defer startPools(t, w)()
		b.set.ApplyRollout(rollout.State{Service: testService, Target: "v2", Step: 1, Phase: rollout.Running, Share: 0.1})
		const batches = 200
		var longest time.Duration
		for i := range batches {
			begin := clock.System().Now()
			is.Equal(countMade(w.Make(t.Context(), testOrder(fmt.Sprint("c", i), 8, time.Second, 2*time.Second))), 8)
			longest = max(longest, clock.System().Now().Sub(begin))
		}
		candidate := 0
		for _, id := range b.calledRunners {
			if b.versions[id] == "v2" {
				candidate++
			}
		}
		is.Equal(len(b.calledRunners), batches)
		is.True(candidate >= 19 && candidate <= 21)
		is.Equal(longest, 230*time.Millisecond) // one batch, without a wait
		// Two runners of the version are idle when it has credit for one of two batches.
		for i := range batches {
			begin := clock.System().Now()
			is.Equal(countMade(w.Make(t.Context(), testOrder(fmt.Sprint("two", i), 16, time.Second, 2*time.Second))), 16)
			longest = max(longest, clock.System().Now().Sub(begin))
		}
		is.Equal(longest, 230*time.Millisecond)
		before := len(b.calledRunners)
		begin := clock.System().Now()
		var group sync.WaitGroup
		for i := range 60 {
			group.Go(func() {
				is.Equal(countMade(w.Make(t.Context(), testOrder(fmt.Sprint("d", i), 8, 20*time.Second, 20*time.Second))), 8)
			})
		}
		group.Wait()
		is.Equal(len(b.calledRunners)-before, 60)
		is.True(clock.System().Now().Sub(begin) <= 30*230*time.Millisecond)
	})
}

// TestCandidatesWithoutCreditArentIdle guards against batches that are assembled for
// runners that don't get them, and against a backoff of these runners.
func TestCandidatesWithoutCreditArentIdle(t *testing.T) {
	is := is.New(t)
	b := &fakeRunners{rollouts: &fakeRollouts{}, versions: map[string]string{"r0": "v1", "r1": "v2"}}
	w := testPools(t, b, 2)
	b.set.ApplyRollout(rollout.State{Service: testService, Target: "v2", Step: 1, Phase: rollout.Running, Share: 0.5})
	p := w.(*poolSet).pool(testShard)
	idle := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idle(p.targets(), p.limits(), clock.System().Now()))
	}
	for b.set.TakePermit(b.set.Find("r1")) {
		is.Equal(idle() > 0, true)
	}
	is.Equal(idle(), 1)
	is.True(b.set.TakePermit(b.set.Find("r0")))
	is.True(b.set.TakePermit(b.set.Find("r0")))
	is.Equal(idle(), 2)
	w.Close(t.Context())
}

// TestNoBatchToVersionBarredDuringConnect guards against a batch that was assembled before
// a rollback and is sent after it.
func TestNoBatchToVersionBarredDuringConnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &fakeRunners{rollouts: &fakeRollouts{}, versions: map[string]string{"r0": "v1", "r1": "v2"}}
		w := testPools(t, b, 2)
		defer startPools(t, w)()
		b.set.ApplyRollout(rollout.State{Service: testService, Target: "v2", Step: 1, Phase: rollout.Running, Share: 1})
		b.connect = func(*inventory.Runner) {
			b.set.ApplyRollout(rollout.State{Service: testService, Target: "v2", Step: 2, Phase: rollout.RolledBack})
		}
		is.Equal(countMade(w.Make(t.Context(), testOrder("c", 3, time.Second, 2*time.Second))), 3)
		is.Equal(b.calledRunners, []string{"r0"})
	})
}

// TestForecastCountsNoCandidates guards against orders that are accepted for runners that
// get few batches.
func TestForecastCountsNoCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &fakeRunners{rollouts: &fakeRollouts{}, versions: map[string]string{"r0": "v1", "r1": "v2", "r2": "v2"}}
		w := testPools(t, b, 3)
		now := clock.System().Now()
		wait := func() time.Duration {
			return w.Reserve(t.Context(), Reservation{ID: "c", Shard: testShard, Pieces: 8, EarliestArrival: now, Due: now.Add(time.Minute), Deadline: now.Add(time.Minute)}).Wait
		}
		three := wait()
		w.Cancel(testShard, "c")
		b.set.ApplyRollout(rollout.State{Service: testService, Target: "v2", Step: 1, Phase: rollout.Running, Share: 0.1})
		one := wait()
		w.Cancel(testShard, "c")
		is.True(one-3*three < time.Microsecond && 3*three-one < time.Microsecond)
		b.set.ApplyRollout(rollout.State{Service: testService, Target: "v2", Step: 2, Phase: rollout.Running, Share: 1})
		is.True(wait() < one)
		w.Close(t.Context())
	})
}
