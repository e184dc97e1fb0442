package rollout_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"cicadawell.dev/router/era"
	"cicadawell.dev/router/rollout"
	"github.com/matryer/is"
)

func order(target string, revision int64) *rollout.Order {
	return &rollout.Order{Service: "s", Target: target, Duration: 12 * time.Second, Revision: era.New(0, revision)}
}

// running is the state of a rollout to v2 at a share.
func running(share float64) *rollout.State {
	return &rollout.State{
		Service: "s", Target: "v2", OrderRevision: 1, Step: 4, Phase: rollout.Running, Share: share,
		Duration: 12 * time.Second, Elapsed: 10 * time.Second, ShareSince: 10 * time.Second, CandidateSince: time.Second,
	}
}

// evidence has answers without failures, of 60 ms, on one route.
func evidence(baseline, candidate int) rollout.Evidence {
	var r rollout.RouteEvidence
	for range baseline {
		r.Baseline.Add(false, 60*time.Millisecond)
	}
	for range candidate {
		r.Candidate.Add(false, 60*time.Millisecond)
	}
	return rollout.Evidence{"a": r}
}

// draining is the input of a rollout at a share of 1 without fault, for which nothing is
// in flight.
func draining(at time.Duration) rollout.Input {
	state := running(1)
	state.Ramping = true
	all := evidence(900, 150)
	return rollout.Input{
		Order: order("v2", 1), State: state, Elapsed: at, Total: all, Recent: all,
		Periods: []rollout.Period{{Share: 0.05, Evidence: evidence(850, 50)}, {Share: 0.5, Ramping: true, Evidence: evidence(50, 100)}},
		Sent:    rollout.Counts{Baseline: 900, Candidate: 150}, Runners: rollout.Counts{Baseline: 10, Candidate: 10},
		BaselineVersions: []string{"v1"},
	}
}

// Guards against rollouts to a version that never starts.
func TestVersionWithoutRunnersIsRolledBackAtDeadline(t *testing.T) {
	is := is.New(t)
	r := play(scenario{rate: 90, duration: 12 * time.Second, answer: sound, runnersAt: func(time.Duration) int64 { return 0 }}, 1)
	is.Equal(r.final.Phase, rollout.RolledBack)
	is.Equal(r.final.Reason, "no runner of v2 at the deadline")
	is.True(r.decided >= 12*time.Second)
	is.Equal(r.exposed, 0)
}

// Guards against completions without time at a small share when runners start late.
func TestVersionWhoseRunnersStartLateIsCompleted(t *testing.T) {
	is := is.New(t)
	r := play(scenario{rate: 90, duration: 12 * time.Second, answer: sound, until: 20 * time.Second, runnersAt: func(at time.Duration) int64 {
		if at < 6*time.Second {
			return 0
		}
		return 10
	}}, 1)
	is.Equal(r.final.Phase, rollout.Completed)
	is.True(len(r.shares()) >= 4) // 0, a small share, steps
}

// Guards against evidence that is awaited from runners that do not exist.
func TestServiceWithTargetAlreadyIsCompletedAtOnce(t *testing.T) {
	is := is.New(t)
	next, changed := rollout.Decide(rollout.Input{Order: order("v2", 1), Runners: rollout.Counts{Candidate: 3}}, deploymentBounds)
	is.True(changed)
	is.Equal(next.Phase, rollout.Completed)
	is.Equal(next.Step, int64(1))
	is.Equal(next.Share, 1.0)
}

// Guards against an order that takes effect where the settings don't ask for rollouts.
func TestOrdersAreIgnoredWithoutBounds(t *testing.T) {
	is := is.New(t)
	_, changed := rollout.Decide(rollout.Input{Order: order("v2", 1), Runners: rollout.Counts{Candidate: 3}}, rollout.Bounds{ExposureSlack: 50})
	is.True(!changed)
}

// Guards against a withdrawn order whose version goes on to get calls.
func TestWithdrawnOrderIsRolledBack(t *testing.T) {
	is := is.New(t)
	next, changed := rollout.Decide(rollout.Input{State: running(0.25)}, deploymentBounds)
	is.True(changed)
	is.Equal(next.Phase, rollout.RolledBack)
	is.Equal(next.Step, int64(5))
	is.Equal(next.Barred, []string{"v2"})
	is.Equal(next.Share, 0.0)
	_, changed = rollout.Decide(rollout.Input{State: &next}, deploymentBounds)
	is.True(!changed) // it stays rolled back
}

// Guards against the deadline of the first order, and against a share that starts again.
func TestRepeatedOrderHasNewDeadline(t *testing.T) {
	is := is.New(t)
	in := draining(0)
	in.State = running(0.25)
	in.State.Ramping = true
	in.Order = order("v2", 2)
	next, changed := rollout.Decide(in, deploymentBounds)
	is.True(changed)
	is.Equal(next.OrderRevision, int64(2))
	is.Equal(next.Share, 0.25)
	is.Equal(next.Before, 10*time.Second)
	is.Equal(next.Before+next.ShareSince, 10*time.Second) // the step's time doesn't start again
	in.State, in.Elapsed = &next, 5*time.Second
	next, _ = rollout.Decide(in, deploymentBounds)
	is.Equal(next.Phase, rollout.Running) // 15 s after the first order
}

// Guards against the versions of an unfinished rollout that still get calls, and against
// evidence on one version that counts for another.
func TestOtherTargetBarsTheUnfinishedVersion(t *testing.T) {
	is := is.New(t)
	in := draining(0)
	in.Order, in.BaselineVersions = order("v3", 2), []string{"v1", "v2"}
	next, changed := rollout.Decide(in, deploymentBounds)
	is.True(changed)
	is.Equal(next.Target, "v3")
	is.Equal(next.Barred, []string{"v2"})
	is.Equal(next.Share, 0.0)
	is.Equal(next.Step, int64(5))
}

// Guards against an order back to the old version that waits for evidence.
func TestOrderBackToTheOldVersionIsCompletedWithoutEvidence(t *testing.T) {
	is := is.New(t)
	in := rollout.Input{Order: order("v1", 2), State: running(0.25), Runners: rollout.Counts{Baseline: 10, Candidate: 10}, BaselineVersions: []string{"v2"}}
	next, _ := rollout.Decide(in, deploymentBounds)
	is.Equal(next.Phase, rollout.Running) // calls may still be in flight at v2
	is.Equal(next.Share, 1.0)
	is.Equal(next.Barred, []string{"v2"})
	in.State, in.Unconfirmed = &next, 1
	_, changed := rollout.Decide(in, deploymentBounds)
	is.True(!changed)
	in.Unconfirmed = 0
	next, _ = rollout.Decide(in, deploymentBounds)
	is.Equal(next.Phase, rollout.Completed)
}

// Guards against a version that stays barred after a rollback.
func TestSameOrderAfterRollbackIsNewAttempt(t *testing.T) {
	is := is.New(t)
	state := running(0)
	state.Phase, state.Barred = rollout.RolledBack, []string{"v2"}
	in := rollout.Input{Order: order("v2", 1), State: state, Runners: rollout.Counts{Baseline: 10, Candidate: 10}, BaselineVersions: []string{"v1"}}
	_, changed := rollout.Decide(in, deploymentBounds)
	is.True(!changed) // the same revision
	in.Order = order("v2", 2)
	next, changed := rollout.Decide(in, deploymentBounds)
	is.True(changed)
	is.Equal(next.Phase, rollout.Running)
	is.Equal(len(next.Barred), 0)
	is.Equal(next.Step, int64(5))
}

// Guards against a decision by an instance whose view of the store is behind.
func TestOlderOrderHasNoEffect(t *testing.T) {
	is := is.New(t)
	state := running(0.25)
	state.OrderRevision = 3
	_, changed := rollout.Decide(rollout.Input{Order: order("v1", 2), State: state}, deploymentBounds)
	is.True(!changed)
}

// Guards against old runners that are stopped while calls are at them or on their way.
func TestCompletionWaitsForOldRunners(t *testing.T) {
	const early, final, late = 11 * time.Second, 11500 * time.Millisecond, 13 * time.Second
	for name, tt := range map[string]struct {
		at     time.Duration
		change func(in *rollout.Input)
		done   bool
	}{
		"nothing left":                         {early, func(*rollout.Input) {}, true},
		"call in flight":                       {early, func(in *rollout.Input) { in.InFlight.Baseline = 1 }, false},
		"call in flight, at the end":           {final, func(in *rollout.Input) { in.InFlight.Baseline = 1 }, true},
		"at-most-once call, at the end":        {final, func(in *rollout.Input) { in.InFlight.Baseline, in.BaselineAtMostOnce = 1, 1 }, false},
		"at-most-once call, past the end":      {late, func(in *rollout.Input) { in.InFlight.Baseline, in.BaselineAtMostOnce = 1, 1 }, false},
		"unconfirmed instance":                 {early, func(in *rollout.Input) { in.Unconfirmed = 1 }, false},
		"unconfirmed instance, at the end":     {final, func(in *rollout.Input) { in.Unconfirmed = 1 }, false},
		"unconfirmed instance, past the end":   {late, func(in *rollout.Input) { in.Unconfirmed = 1 }, false},
		"nothing left, after the deadline":     {late, func(*rollout.Input) {}, true},
		"few answers since the share grew":     {10500 * time.Millisecond, func(in *rollout.Input) { in.Periods[1].Evidence = evidence(10, 10) }, false},
		"the same, with no time to wait":       {final, func(in *rollout.Input) { in.Periods[1].Evidence = evidence(10, 10) }, true},
		"too few answers, before the deadline": {final, func(in *rollout.Input) { in.Total = evidence(900, 19) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := draining(tt.at)
			tt.change(&in)
			next, _ := rollout.Decide(in, deploymentBounds)
			is.Equal(next.Phase == rollout.Completed, tt.done)
			is.True(next.Phase != rollout.RolledBack) // being late does less harm
		})
	}
}

// Guards against a rollout that waits for ever, and a completion that doesn't wait.
func TestRolloutThatCannotFinishIsRolledBack(t *testing.T) {
	is := is.New(t)
	in := draining(43 * time.Second)
	in.Unconfirmed = 1
	next, _ := rollout.Decide(in, deploymentBounds)
	is.Equal(next.Phase, rollout.RolledBack)
	is.True(strings.HasPrefix(next.Reason, "1 instances not confirmed"))
}

// Guards against a service without any runner that gets calls.
func TestVersionThatLosesAllRunnersIsRolledBack(t *testing.T) {
	is := is.New(t)
	in := draining(10500 * time.Millisecond)
	in.Runners.Candidate, in.Unconfirmed = 0, 1
	next, _ := rollout.Decide(in, deploymentBounds)
	is.Equal(next.Phase, rollout.RolledBack)
	is.Equal(next.Reason, "no runner of v2 is left")
}

// Guards against calls of at-most-once semantics that are cut off at the deadline: one
// call in ten takes 3 s.
func TestLongCallsAreAwaited(t *testing.T) {
	long := func(c call, usual answer) answer {
		if chance(c, 0.1) {
			usual.took = 3 * time.Second
		}
		return usual
	}
	for seed := range uint64(5) {
		is := is.New(t)
		r := play(scenario{rate: 90, duration: 12 * time.Second, answer: long, until: 20 * time.Second}, seed)
		is.Equal(r.final.Phase, rollout.Completed)
		is.Equal(r.leftAtMostOnce, 0)
		is.True(r.decided < 12*time.Second)
	}
}

// Guards against a version that never answers, of which there is no other evidence.
func TestVersionThatNeverAnswersIsRolledBack(t *testing.T) {
	silent := func(c call, usual answer) answer {
		usual.took *= 10
		if c.new {
			usual.took, usual.defective = time.Minute, true
		}
		return usual
	}
	for seed := range uint64(5) {
		is := is.New(t)
		r := play(scenario{rate: 90, duration: 12 * time.Second, answer: silent}, seed)
		withinBounds(is, r)
		is.True(r.decided < 9*time.Second) // before the share is raised
	}
}

// Guards against calls that all runners of a small candidate group get at a low load: a
// version that is bad only under load has to show it at a small share. 40 runners, 400
// calls a second.
func TestCallsAreConcentratedOnFewRunners(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		r := play(scenario{rate: 400, duration: 12 * time.Second, runners: 40, answer: failing(underLoad)}, seed)
		withinBounds(is, r)
		small := slices.IndexFunc(r.states, func(s rollout.State) bool { return s.Share > 0 })
		is.True(r.states[small].Runners >= 2 && r.states[small].Runners < 10)
		is.True(slices.Max(r.shares()) < 0.25) // found before the share is raised
	}
}

// Guards against a phase at a small share that spends the exposure budget, as it does when
// fewer calls arrive than planned. 90 calls a second, of which 60 went to the candidate.
func TestShareFollowsTraffic(t *testing.T) {
	is := is.New(t)
	in := draining(4 * time.Second)
	in.State = running(0.06)
	in.State.Elapsed, in.State.ShareSince, in.State.CandidateSince = time.Second, time.Second, time.Second
	in.Periods = nil
	in.Sent = rollout.Counts{Baseline: 300, Candidate: 60} // the plan is about 44 in all
	next, changed := rollout.Decide(in, deploymentBounds)
	is.True(changed)
	is.True(next.Share < 0.03)
	is.Equal(next.Phase, rollout.Running)
}

// Guards against a successor of the decider that starts from an old time.
func TestElapsedIsRefreshed(t *testing.T) {
	is := is.New(t)
	in := draining(10500 * time.Millisecond)
	_, due := rollout.Refresh(in)
	is.True(!due)
	in.Elapsed = 11 * time.Second
	next, due := rollout.Refresh(in)
	is.True(due)
	is.Equal(next.Elapsed, in.Elapsed)
	is.Equal(next.Step, in.State.Step) // no new step to confirm
	in.Order = nil
	_, due = rollout.Refresh(in)
	is.True(!due)
}
