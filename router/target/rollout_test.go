package target_test

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/random"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/rollout"
	"cicadawell.dev/router/shard"
	"cicadawell.dev/router/target"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// newRolloutFixture returns a fixture with rollouts and with runners of two versions:
// old of v1, a0 and on, and n of v2, b0 and on.
func newRolloutFixture(t testing.TB, old, n int, opts ...target.Option) *fixture {
	t.Helper()
	w := newFixture(t, 0, twoPerSecond)
	w.set = target.NewSet(w.clk, twoPerSecond, describeLag, append([]target.Option{target.WithRollouts(true), target.WithRandom(random.NewSeeded(1))}, opts...)...)
	w.describe("a", "v1", old)
	w.describe("b", "v2", n)
	w.update()
	return w
}

// describe adds runners of a version to the snapshot.
func (w *fixture) describe(prefix, version string, n int) {
	for i := range n {
		id := fmt.Sprint(prefix, i)
		w.snapshot.Runners[id] = &inventory.Runner{ID: id, Service: "s", Zone: "z", Version: version, Slots: 1, Revision: era.New(0, 1)}
	}
}

func (w *fixture) order(target string, revision int64) {
	w.snapshot.RolloutOrders = map[string]rollout.Order{"s": {Service: "s", Target: target, Duration: 12 * time.Second, Revision: era.New(0, revision)}}
	w.update()
}

// running returns a decision on a rollout to v2.
func running(step int64, share float64) rollout.State {
	return rollout.State{Service: "s", Target: "v2", OrderRevision: 5, Step: step, Phase: rollout.Running, Share: share}
}

func ended(step int64, phase rollout.Phase, barred ...string) rollout.State {
	return rollout.State{Service: "s", Target: "v2", OrderRevision: 5, Step: step, Phase: phase, Barred: barred}
}

// versions returns the versions of the usable runners of the service, sorted.
func (w *fixture) versions() []string {
	var out []string
	for _, t := range w.set.Usable("s") {
		out = append(out, t.Runner().Version)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// calls chooses a runner for n calls, which end at once, and counts them by version.
func (w *fixture) calls(n int) map[string]int {
	counts := make(map[string]int)
	for range n {
		if t := w.set.LeastLoaded("s", "z", nil); t != nil {
			counts[t.Runner().Version]++
		}
	}
	return counts
}

// TestRolloutsNeedTheOption guards against an effect of rollouts in deployments that
// don't ask for them.
func TestRolloutsNeedTheOption(t *testing.T) {
	is := is.New(t)
	w := newRolloutFixture(t, 2, 2, target.WithRollouts(false))
	w.order("v2", 5)
	w.set.ApplyRollout(running(1, 1))
	w.set.ApplyRollout(ended(2, rollout.RolledBack, "v2"))
	w.set.SetRolloutContact("s", false)
	is.Equal(w.versions(), []string{"v1", "v2"})
	defer w.set.Find("a0").Begin(true)()
	is.Equal(w.set.Find("a0").Hold(1) == nil, true)
	is.Equal(w.set.RolloutUsage("s", "v2").InFlight, rollout.Counts{})
}

// TestVersionsThatDecisionsAllow guards against calls to a version that no longer gets
// any, or not yet.
func TestVersionsThatDecisionsAllow(t *testing.T) {
	both := []string{"v1", "v2"}
	for _, c := range []struct {
		name  string
		state rollout.State
		want  []string
	}{
		{"share 0", running(1, 0), []string{"v1"}},
		{"small share", running(1, 0.05), both},
		{"share 1", running(1, 1), []string{"v2"}},
		{"completed", ended(1, rollout.Completed, "v1"), []string{"v2"}},
		{"completed without old runners", ended(1, rollout.Completed), both},
		{"rolled back", ended(1, rollout.RolledBack, "v2"), []string{"v1"}},
		{"rolled back without its version", ended(1, rollout.RolledBack), []string{"v1"}},
	} {
		for _, how := range []string{"applied", "in the snapshot"} {
			t.Run(c.name+" "+how, func(t *testing.T) {
				is := is.New(t)
				w := newRolloutFixture(t, 2, 2)
				before := map[string]*target.Target{"v1": w.set.Find("a0"), "v2": w.set.Find("b0")}
				if how == "applied" {
					w.set.ApplyRollout(c.state)
				} else {
					w.snapshot.Rollouts = map[string]rollout.State{"s": c.state}
					w.update()
				}
				is.Equal(w.versions(), c.want)
				is.Equal(len(w.set.UsableIn(shard.Shard{Service: "s", Zone: "z"})), len(w.set.Usable("s")))
				for version, chosen := range before {
					allowed := slices.Contains(c.want, version)
					is.Equal(w.set.AcceptsCalls(chosen), allowed) // chosen before the decision
					if !allowed {
						is.True(!w.set.TakePermit(chosen))
						is.Equal(w.calls(50)[version], 0)
					}
				}
				// A new version without an order isn't restricted, except while a
				// rollout has share 1.
				w.describe("c", "v3", 1)
				w.update()
				is.Equal(slices.Contains(w.versions(), "v3"), c.name != "share 1")
			})
		}
	}
}

// TestLaterDecisionIsInForce guards against an earlier decision that arrives late, by a
// response or by the store.
func TestLaterDecisionIsInForce(t *testing.T) {
	is := is.New(t)
	w := newRolloutFixture(t, 2, 2)
	w.set.ApplyRollout(ended(4, rollout.RolledBack, "v2"))
	w.set.ApplyRollout(running(3, 1))
	w.set.ApplyRollout(running(4, 1)) // of another decider, which doesn't know the rollback
	w.snapshot.Rollouts = map[string]rollout.State{"s": running(2, 0.5)}
	w.update()
	is.Equal(w.versions(), []string{"v1"})
	w.snapshot.Rollouts = nil
	w.update()
	is.Equal(w.versions(), []string{"v1"}) // a view without decisions lifts none
	w.set.ApplyRollout(running(5, 1))
	is.Equal(w.versions(), []string{"v2"})
	w.set.ApplyRollout(ended(5, rollout.RolledBack, "v2"))
	is.Equal(w.versions(), []string{"v1"}) // of two decisions with one step, the rollback
}

// TestTargetVersionWaitsForTheFirstDecision guards against calls to an unproven version
// between its order and the first decision on it.
func TestTargetVersionWaitsForTheFirstDecision(t *testing.T) {
	t.Run("started after the order", func(t *testing.T) {
		is := is.New(t)
		w := newRolloutFixture(t, 2, 0)
		w.order("v2", 5)
		w.describe("b", "v2", 2)
		w.update()
		is.Equal(w.versions(), []string{"v1"})
		w.set.ApplyRollout(running(1, 0.5))
		is.Equal(w.versions(), []string{"v1", "v2"})
	})
	t.Run("started before the order", func(t *testing.T) {
		is := is.New(t)
		w := newRolloutFixture(t, 2, 2)
		w.order("v2", 5)
		is.Equal(w.versions(), []string{"v1"})
	})
	t.Run("no other runners", func(t *testing.T) {
		is := is.New(t)
		w := newRolloutFixture(t, 0, 0)
		w.order("v2", 5)
		w.describe("b", "v2", 2)
		w.snapshot.Runners["b0"].Revision, w.snapshot.Runners["b1"].Revision = era.New(0, 6), era.New(0, 7)
		w.update()
		is.Equal(len(w.versions()), 0)
	})
	t.Run("the version in use", func(t *testing.T) {
		is := is.New(t)
		w := newRolloutFixture(t, 0, 2)
		w.order("v2", 5)
		is.Equal(w.versions(), []string{"v2"})
	})
	t.Run("the version in use after a rollout", func(t *testing.T) {
		is := is.New(t)
		w := newRolloutFixture(t, 2, 2)
		w.set.ApplyRollout(ended(1, rollout.Completed, "v1"))
		w.order("v2", 9)
		is.Equal(w.versions(), []string{"v2"}) // v1 is described for some seconds
	})
	t.Run("repeated while running", func(t *testing.T) {
		is := is.New(t)
		w := newRolloutFixture(t, 2, 2)
		w.order("v2", 5)
		w.set.ApplyRollout(running(1, 0.5))
		w.order("v2", 9)
		is.Equal(w.versions(), []string{"v1", "v2"})
	})
	t.Run("another target while running", func(t *testing.T) {
		is := is.New(t)
		w := newRolloutFixture(t, 2, 2)
		w.order("v2", 5)
		w.set.ApplyRollout(running(1, 0.5))
		w.describe("c", "v3", 2)
		w.order("v3", 9)
		is.Equal(w.versions(), []string{"v1", "v2"})
	})
	t.Run("again after a rollback", func(t *testing.T) {
		is := is.New(t)
		w := newRolloutFixture(t, 2, 2)
		w.set.ApplyRollout(ended(1, rollout.RolledBack, "v2"))
		w.order("v2", 9)
		is.Equal(w.versions(), []string{"v1"})
		again := running(2, 0.5)
		again.OrderRevision = 9
		w.set.ApplyRollout(again)
		is.Equal(w.versions(), []string{"v1", "v2"})
	})
	t.Run("decided before the order is read", func(t *testing.T) {
		is := is.New(t)
		w := newRolloutFixture(t, 2, 2)
		w.set.ApplyRollout(running(1, 0.5))
		w.order("v2", 5)
		is.Equal(w.versions(), []string{"v1", "v2"})
	})
	t.Run("withdrawn", func(t *testing.T) {
		is := is.New(t)
		w := newRolloutFixture(t, 2, 2)
		w.order("v2", 5)
		w.snapshot.RolloutOrders = nil
		w.update()
		is.Equal(w.versions(), []string{"v1", "v2"})
	})
}

// TestShareOfCalls guards against a target version that gets more calls than decided, or
// so few that a fault isn't seen.
func TestShareOfCalls(t *testing.T) {
	for _, share := range []float64{0.004, 0.05, 0.25, 0.5, 0.9} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			is := is.New(t)
			w := newRolloutFixture(t, 3, 3)
			w.set.ApplyRollout(running(1, share))
			const n = 2000
			counts := w.calls(n)
			is.Equal(counts["v1"]+counts["v2"], n)
			if d := float64(counts["v2"]) - share*n; d > 1 || d < -1 {
				t.Errorf("%d of %d calls to the target version", counts["v2"], n)
			}
			// Choices without permit send nothing.
			for range 100 {
				got := w.set.Choose(shard.Whole("s"), nil, false, func(*target.Target) time.Duration { return 0 })
				is.Equal(got.Runner().Version, "v1")
			}
		})
	}
}

// TestInstancesStartWithDifferentCredit guards against a first call to an unproven
// version by all instances at the same time.
func TestInstancesStartWithDifferentCredit(t *testing.T) {
	first := make(map[int]bool)
	for seed := range uint64(20) {
		w := newRolloutFixture(t, 2, 2, target.WithRandom(random.NewSeeded(seed)))
		w.set.ApplyRollout(running(1, 0.05))
		for n := range 20 {
			if w.calls(1)["v2"] == 1 {
				first[n] = true
				break
			}
		}
	}
	if len(first) < 8 {
		t.Errorf("20 instances send their first call as number %v", first)
	}
}

// TestNoFallbackToTheTargetVersion guards against more calls to an unproven version
// because the others take none. The others do replace the target version.
func TestNoFallbackToTheTargetVersion(t *testing.T) {
	is := is.New(t)
	w := newRolloutFixture(t, 2, 2)
	w.set.ApplyRollout(running(1, 0.1))
	var old, candidates []*target.Target
	for _, usable := range w.set.Usable("s") {
		if usable.Runner().Version == "v1" {
			old = append(old, usable)
		} else {
			candidates = append(candidates, usable)
		}
	}
	for range 100 {
		w.set.LeastLoaded("s", "z", candidates)
	}
	is.True(w.set.HasAlternative("s", candidates))
	is.True(!w.set.HasAlternative("s", old))
	got := 0
	for range 100 {
		if t := w.set.LeastLoaded("s", "z", old); t != nil {
			got++
		}
	}
	is.Equal(got, 2) // what was saved while the target version took no calls
	// A target version whose runners are in backoff or paused gets none.
	for _, c := range candidates {
		for range 3 {
			c.Failed(w.clk.Now())
		}
	}
	is.Equal(w.calls(100)["v1"], 100)
	for _, o := range old {
		w.set.Observe(o.Runner(), target.Notice{Pause: time.Second})
	}
	is.True(w.set.PausedFor("s") > 0)
}

// TestFewRunnersOfTheTargetVersion guards against load that doesn't show how the version
// is under load: all instances use the same few runners.
func TestFewRunnersOfTheTargetVersion(t *testing.T) {
	is := is.New(t)
	st := running(1, 0.1)
	st.Runners = 2
	ids := func(w *fixture) []string {
		var out []string
		for _, t := range w.set.Usable("s") {
			if t.Runner().Version == "v2" {
				out = append(out, t.Runner().ID)
			}
		}
		slices.Sort(out)
		return out
	}
	w, other := newRolloutFixture(t, 4, 20), newRolloutFixture(t, 4, 20, target.WithRandom(random.NewSeeded(9)))
	w.set.ApplyRollout(st)
	other.set.ApplyRollout(st)
	first := ids(w)
	is.Equal(len(first), 2)
	is.Equal(ids(other), first)
	unchosen := w.set.Find("b0")
	for i := 1; slices.Contains(first, unchosen.Runner().ID); i++ {
		unchosen = w.set.Find(fmt.Sprint("b", i))
	}
	is.True(!w.set.AcceptsCalls(unchosen))
	for range 30 {
		is.True(w.set.TakePermit(w.set.Find("a0"))) // so that there is credit
	}
	is.True(!w.set.TakePermit(unchosen))
	is.True(w.set.TakePermit(w.set.Find(first[0])))
	// Another runner takes the place of one that leaves.
	w.snapshot.Runners[first[0]].Draining = true
	w.update()
	is.Equal(len(ids(w)), 2)
	is.True(slices.Contains(ids(w), first[1]))
	st.Step, st.Runners = 2, 0
	w.set.ApplyRollout(st)
	is.Equal(len(ids(w)), 19)
}

// TestCandidatesOfOtherZones guards against a target version without calls because its
// few runners are in another zone than a shard.
func TestCandidatesOfOtherZones(t *testing.T) {
	is := is.New(t)
	w := newRolloutFixture(t, 4, 0)
	w.snapshot.Runners["b0"] = &inventory.Runner{ID: "b0", Service: "s", Zone: "y", Version: "v2", Slots: 1}
	w.update()
	w.set.ApplyRollout(running(1, 0.25))
	n := 0
	for range 400 {
		c := w.set.Choose(shard.Shard{Service: "s", Zone: "z"}, nil, true, func(*target.Target) time.Duration { return 0 })
		if c.Runner().Version == "v2" {
			n++
		}
	}
	is.True(n >= 99 && n <= 101)
}

// TestWithoutContact guards against an instance that sends calls by an outdated
// decision.
func TestWithoutContact(t *testing.T) {
	is := is.New(t)
	w := newRolloutFixture(t, 2, 2)
	w.set.SetRolloutContact("s", false)
	w.set.ApplyRollout(running(1, 0.5))
	is.Equal(w.versions(), []string{"v1"})
	w.set.SetRolloutContact("s", true)
	is.Equal(w.versions(), []string{"v1", "v2"})
	chosen := w.set.Find("b0")
	is.True(w.set.AcceptsCalls(chosen))
	w.set.SetRolloutContact("s", false)
	is.True(!w.set.AcceptsCalls(chosen))
	w.set.ApplyRollout(running(2, 1))
	is.Equal(w.versions(), []string{"v2"})
	w.set.ApplyRollout(ended(3, rollout.Completed, "v1"))
	is.Equal(w.versions(), []string{"v2"})
}

// TestPermitsFollowTheShare guards against batches of stages, which need permits, beyond
// the share.
func TestPermitsFollowTheShare(t *testing.T) {
	is := is.New(t)
	w := newRolloutFixture(t, 1, 1)
	w.set.ApplyRollout(running(1, 0.2))
	old, next := w.set.Find("a0"), w.set.Find("b0")
	sent := map[*target.Target]int{}
	for range 1000 {
		candidate, credit := w.set.Candidate(next)
		is.True(candidate)
		is.Equal(w.set.TakePermit(next), credit)
		if credit {
			sent[next]++
			continue
		}
		is.True(w.set.TakePermit(old))
		sent[old]++
	}
	is.True(sent[next] >= 199 && sent[next] <= 201)
	candidate, credit := w.set.Candidate(old)
	is.True(!candidate && credit)
}

// TestColdCandidateLeavesItsCallToOthers guards against calls that fail because the target
// version has just started and takes few.
func TestColdCandidateLeavesItsCallToOthers(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 9, func(string, float64) float64 { return 2 })
	w.set = target.NewSet(w.clk, func(string, float64) float64 { return 2 }, describeLag, target.WithRollouts(true), target.WithRandom(random.NewSeeded(1)))
	w.describe("a", "v1", 2)
	w.describe("b", "v2", 1)
	w.snapshot.Runners["b0"].Cold, w.snapshot.Runners["b0"].SeenAt = time.Hour, origin
	w.update()
	w.set.ApplyRollout(running(1, 0.5))
	counts := map[string]int{}
	for range 1000 {
		for version, n := range w.calls(1) {
			counts[version] += n
		}
		w.clk.Advance(time.Millisecond)
	}
	is.Equal(counts["v1"]+counts["v2"], 1000)
	is.Equal(counts["v2"], 2)
}

// TestUsageByVersion guards against a completed rollout that has work at old runners.
func TestUsageByVersion(t *testing.T) {
	is := is.New(t)
	w := newRolloutFixture(t, 2, 3)
	early := w.set.Find("a0").Begin(false) // before the order
	w.order("v2", 5)
	w.set.ApplyRollout(running(1, 0.5))
	once, call, candidate := w.set.Find("a1").Begin(true), w.set.Find("a1").Begin(false), w.set.Find("b0").Begin(true)
	released := w.set.Find("a0").Hold(4)
	u := w.set.RolloutUsage("s", "v2")
	is.Equal(u, target.RolloutUsage{
		Runners: rollout.Counts{Baseline: 2, Candidate: 3}, InFlight: rollout.Counts{Baseline: 7, Candidate: 1},
		Sent: rollout.Counts{Baseline: 2, Candidate: 1}, BaselineAtMostOnce: 1, BaselineVersions: []string{"v1"},
	})
	// Calls at runners whose descriptions were removed, or that started again, still
	// count.
	delete(w.snapshot.Runners, "a0")
	w.snapshot.Runners["a1"] = &inventory.Runner{ID: "a1", Service: "s", Zone: "z", Version: "v1", Slots: 1, Born: 9}
	w.update()
	is.Equal(w.set.RolloutUsage("s", "v2").InFlight.Baseline, int64(7))
	delete(w.snapshot.Runners, "a1")
	w.update()
	is.Equal(w.set.RolloutUsage("s", "v2").InFlight.Baseline, int64(7))
	is.Equal(len(w.set.RolloutUsage("s", "v2").BaselineVersions), 0)
	early()
	call()
	once()
	once()
	is.Equal(w.set.RolloutUsage("s", "v2").BaselineAtMostOnce, int64(0))
	is.Equal(w.set.RolloutUsage("s", "v2").InFlight.Baseline, int64(4))
	released()
	released()
	candidate()
	is.Equal(w.set.RolloutUsage("s", "v2").InFlight, rollout.Counts{})
	// A repeated order goes on, an order after the end of the rollout counts anew.
	w.order("v2", 7)
	is.Equal(w.set.RolloutUsage("s", "v2").Sent, rollout.Counts{Baseline: 2, Candidate: 1})
	w.set.ApplyRollout(ended(2, rollout.RolledBack, "v2"))
	w.order("v2", 9)
	is.Equal(w.set.RolloutUsage("s", "v2").Sent, rollout.Counts{})
}

// TestRunnerOfAnotherVersionAtTheSameAddress guards against calls to the new version of a
// runner that are counted for the old one.
func TestRunnerOfAnotherVersionAtTheSameAddress(t *testing.T) {
	is := is.New(t)
	w := newRolloutFixture(t, 2, 0)
	old := w.set.Find("a0")
	w.snapshot.Runners["a0"] = &inventory.Runner{ID: "a0", Service: "s", Zone: "z", Version: "v2", Slots: 1, Revision: era.New(0, 2)}
	w.update()
	is.True(w.set.Find("a0") != old)
	defer w.set.Find("a0").Begin(false)()
	is.Equal(w.set.RolloutUsage("s", "v2").InFlight, rollout.Counts{Candidate: 1})
}

// TestNoCallAfterTheRollbackReturned has calls at the same time as a rollback.
func TestNoCallAfterTheRollbackReturned(t *testing.T) {
	w := newRolloutFixture(t, 2, 2)
	w.set.ApplyRollout(running(1, 0.5))
	var applied atomic.Bool
	var late, accepted atomic.Int64
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for n := 0; n < 5000; n++ {
				c := w.set.LeastLoaded("s", "z", nil)
				after := applied.Load()
				if c == nil || c.Runner().Version != "v2" || !w.set.AcceptsCalls(c) {
					continue
				}
				accepted.Add(1)
				if after {
					late.Add(1)
				}
			}
		})
	}
	group.Go(func() {
		for accepted.Load() < 100 {
			runtime.Gosched()
		}
		w.set.ApplyRollout(ended(2, rollout.RolledBack, "v2"))
		applied.Store(true)
	})
	group.Wait()
	is.New(t).Equal(late.Load(), int64(0))
}

// rolloutModel is what a target set must do, by the decisions and orders it was given.
type rolloutModel struct {
	state     rollout.State
	order     rollout.Order
	noContact bool
	// allowance is how many calls the target versions may have got so far, sent how many
	// they got.
	allowance float64
	sent      int
}

// forbids reports whether a version must not get calls, by the decisions alone.
func (m *rolloutModel) forbids(version string) bool {
	st := m.state
	isTarget := version == st.Target
	switch {
	case slices.Contains(st.Barred, version):
		return true
	case st.Phase == rollout.RolledBack:
		return isTarget
	case st.Phase == rollout.Running && st.Share >= 1:
		return !isTarget
	case st.Phase == rollout.Running:
		return isTarget && (st.Share == 0 || m.noContact)
	}
	return false
}

func (m *rolloutModel) apply(st rollout.State) {
	if st.Step > m.state.Step || (st.Step == m.state.Step && st.Phase == rollout.RolledBack && m.state.Phase != rollout.RolledBack) {
		if st.OrderRevision > m.state.OrderRevision {
			m.allowance++ // another order may begin with the credit of one call
		}
		m.state = st
	}
}

// TestRolloutsOfTargetsProperty checks, for any order of decisions, snapshots, contact and
// calls, that no version gets a call that must not, and that the target version gets no
// more than its share and one call of each order.
func TestRolloutsOfTargetsProperty(t *testing.T) {
	versions := rapid.SampledFrom([]string{"v1", "v2", "v3"})
	rapid.Check(t, func(rt *rapid.T) {
		w := &fixture{clk: clock.NewManual(origin), snapshot: inventory.Snapshot{Runners: map[string]*inventory.Runner{}}}
		w.set = target.NewSet(w.clk, twoPerSecond, describeLag, target.WithRollouts(true), target.WithRandom(random.NewSeeded(rapid.Uint64().Draw(rt, "seed"))))
		m := &rolloutModel{allowance: 1}
		drawState := func(rt *rapid.T) rollout.State {
			return rollout.State{
				Service: "s", Target: versions.Draw(rt, "target"), OrderRevision: rapid.Int64Range(1, 6).Draw(rt, "of"),
				Step: rapid.Int64Range(1, 30).Draw(rt, "step"), Phase: rapid.SampledFrom([]rollout.Phase{rollout.Running, rollout.Running, rollout.Running, rollout.Completed, rollout.RolledBack}).Draw(rt, "phase"),
				Share: rapid.SampledFrom([]float64{0, 0.05, 0.3, 0.5, 1}).Draw(rt, "share"), Runners: rapid.IntRange(0, 2).Draw(rt, "runners"),
				Barred: rapid.SliceOfNDistinct(versions, 0, 1, rapid.ID[string]).Draw(rt, "barred"),
			}
		}
		check := func(rt *rapid.T, c *target.Target, how string) {
			if c == nil {
				return
			}
			version := c.Runner().Version
			if m.forbids(version) {
				rt.Fatalf("%s of %s under %+v, no contact %v", how, version, m.state, m.noContact)
			}
		}
		count := func(c *target.Target) {
			split := m.state.Phase == rollout.Running && m.state.Share > 0 && m.state.Share < 1 && !m.noContact
			if c == nil || !split {
				return
			}
			m.allowance += m.state.Share
			if c.Runner().Version == m.state.Target {
				m.sent++
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"describe": func(rt *rapid.T) {
				id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(rt, "id")
				w.snapshot.Runners[id] = &inventory.Runner{ID: id, Service: "s", Zone: "z", Version: versions.Draw(rt, "version"), Slots: 1, Revision: era.New(0, 1), Draining: rapid.IntRange(0, 5).Draw(rt, "draining") == 0}
				w.update()
			},
			"remove": func(rt *rapid.T) {
				delete(w.snapshot.Runners, rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(rt, "id"))
				w.update()
			},
			"decide": func(rt *rapid.T) {
				st := drawState(rt)
				m.apply(st)
				w.set.ApplyRollout(st)
			},
			"read a decision": func(rt *rapid.T) {
				st := drawState(rt)
				m.apply(st)
				w.snapshot.Rollouts = map[string]rollout.State{"s": st}
				w.update()
				w.snapshot.Rollouts = nil
			},
			"order": func(rt *rapid.T) {
				m.order = rollout.Order{Service: "s", Target: versions.Draw(rt, "target"), Revision: era.New(0, rapid.Int64Range(1, 6).Draw(rt, "revision"))}
				m.allowance++
				w.snapshot.RolloutOrders = map[string]rollout.Order{"s": m.order}
				w.update()
			},
			"contact": func(rt *rapid.T) {
				m.noContact = rapid.Bool().Draw(rt, "lost")
				w.set.SetRolloutContact("s", !m.noContact)
			},
			"call": func(rt *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(rt, "calls") {
					c := w.set.LeastLoaded("s", "z", nil)
					check(rt, c, "call")
					count(c)
				}
			},
			"permit": func(rt *rapid.T) {
				c := w.set.Find(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(rt, "id"))
				for range rapid.IntRange(1, 30).Draw(rt, "permits") {
					if c != nil && w.set.TakePermit(c) {
						check(rt, c, "permit")
						count(c)
					}
				}
			},
			"": func(rt *rapid.T) {
				for _, c := range w.set.Usable("s") {
					check(rt, c, "use")
				}
				for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
					if c := w.set.Find(id); c != nil && w.set.AcceptsCalls(c) {
						check(rt, c, "acceptance")
					}
				}
				if float64(m.sent) > m.allowance+1e-6 {
					rt.Fatalf("%d calls to target versions, %.2f allowed", m.sent, m.allowance)
				}
			},
		})
	})
}

// TestOrderWrittenAgainHoldsNothingBack guards against a version that gets no calls after a
// drill: the order of its completed rollout has another revision, and no decision follows.
func TestOrderWrittenAgainHoldsNothingBack(t *testing.T) {
	is := is.New(t)
	w := newRolloutFixture(t, 1, 2)
	w.order("v2", 5)
	st := ended(9, rollout.Completed, "v1")
	st.Duration = 12 * time.Second
	w.set.ApplyRollout(st)
	w.describe("c", "v3", 1)
	w.update()
	is.Equal(w.versions(), []string{"v2", "v3"})
	again := w.snapshot.RolloutOrders["s"]
	again.Revision = era.New(1, 3)
	w.snapshot.RolloutOrders = map[string]rollout.Order{"s": again}
	w.update()
	is.Equal(w.versions(), []string{"v2", "v3"})
}
