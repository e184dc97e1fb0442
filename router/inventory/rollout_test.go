package inventory_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/rollout"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

func orderOf(service string, revision int64) inventory.Change {
	return inventory.Change{Revision: era.New(0, revision), RolloutOrder: &rollout.Order{
		Service: service, Target: "v2", Duration: 12 * time.Second, Revision: era.New(0, revision), SeenAt: clock.System().Now(),
	}}
}

func decisionOf(service string, step, revision int64) inventory.Change {
	return inventory.Change{Revision: era.New(0, revision), Rollout: &rollout.State{
		Service: service, Target: "v2", OrderRevision: 1, Step: step, Phase: rollout.Running, Share: 0.05, Runners: 2,
		Elapsed: time.Second, Duration: 12 * time.Second, Barred: []string{"v0"}, Revision: era.New(0, revision), SeenAt: clock.System().Now(),
	}}
}

// TestRolloutsReachInstancesThatDontReadTheStore has orders and decisions in a zone with
// one lead, and in an instance that only has another instance's snapshot.
func TestRolloutsReachInstancesThatDontReadTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newFleet(t, 4)
		defer stop()
		sleep(t, 5*time.Second)
		written := clock.System().Now()
		f.log.add(orderOf("s", 7))
		f.log.add(decisionOf("s", 3, 8))
		f.log.add(orderOf("other", 9))
		f.log.add(decisionOf("other", 1, 10))
		sleep(t, propagationBound)
		f.refuseNew = true
		f.start("late", inventory.WithSeeds([]string{"n1"}))
		sleep(t, propagationBound)
		wantOrder, wantState := *orderOf("s", 7).RolloutOrder, *decisionOf("s", 3, 8).Rollout
		for name, n := range f.nodes {
			o, st := n.current.Load().RolloutOrders["s"], n.current.Load().Rollouts["s"]
			for _, seen := range []time.Time{o.SeenAt, st.SeenAt} {
				if late := seen.Sub(written); late < 0 || late > propagationBound {
					t.Errorf("%s dates the rollout %v later", name, late)
				}
			}
			wantOrder.SeenAt, wantState.SeenAt = o.SeenAt, st.SeenAt
			is.Equal(o, wantOrder)
			is.Equal(st, wantState)
		}
		f.log.add(inventory.Change{WithdrawnRollout: "s"})
		f.log.add(inventory.Change{EndedRollout: "s"})
		sleep(t, propagationBound)
		for _, n := range f.nodes {
			is.Equal(len(n.current.Load().RolloutOrders), 1)
			is.Equal(len(n.current.Load().Rollouts), 1)
		}
	})
}

// TestDecisionWithHigherStepIsKept guards against an earlier decision that arrives late.
func TestDecisionWithHigherStepIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rewritten := decisionOf("s", 4, 5)
		rewritten.Rollout.Elapsed = 2 * time.Second
		s := &script{
			lists: []step{{changes: []inventory.Change{orderOf("s", 1), decisionOf("s", 4, 2)}, revision: 2}},
			steps: []step{
				{changes: []inventory.Change{decisionOf("s", 3, 3)}, revision: 3},
				{after: time.Second, changes: []inventory.Change{rewritten}, revision: 5},
			},
		}
		current, _ := runFollower(t, s, 500*time.Millisecond)
		is.Equal(current.Load().Revision, era.New(0, 3))
		is.Equal(current.Load().Rollouts["s"].Step, int64(4))
		s.lists = []step{{changes: []inventory.Change{decisionOf("s", 4, 2)}, revision: 2}}
		s.steps = []step{{changes: []inventory.Change{rewritten}, revision: 5}}
		current, _ = runFollower(t, s, 500*time.Millisecond)
		is.Equal(current.Load().Rollouts["s"].Elapsed, 2*time.Second)
	})
}

// TestListImpliesTheEndOfRollouts covers rollouts whose removal this instance missed, and
// an order that was replaced by an invalid one, which stays in force.
func TestListImpliesTheEndOfRollouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{
			lists: []step{
				{changes: []inventory.Change{orderOf("s", 1), decisionOf("s", 4, 2), orderOf("t", 3), decisionOf("t", 1, 4), orderOf("u", 5)}, revision: 5},
				{changes: []inventory.Change{orderOf("t", 3), decisionOf("t", 1, 4), {Revision: era.New(0, 6), IgnoredRollout: "u"}}, revision: 6},
			},
			steps: []step{{err: fault.New(fault.HistoryGone, "gone")}},
		}
		current, _ := runFollower(t, s, 5*time.Second)
		is.Equal(s.listed, 2)
		_, s1 := current.Load().RolloutOrders["s"]
		_, t1 := current.Load().RolloutOrders["t"]
		_, u1 := current.Load().RolloutOrders["u"]
		is.Equal([]bool{s1, t1, u1}, []bool{false, true, true})
		is.Equal(len(current.Load().Rollouts), 1)
	})
}

// TestSnapshotOfAnOlderBuildKeepsRollouts guards against a version that is no longer
// barred because an instance of an older build supplied the snapshot.
func TestSnapshotOfAnOlderBuildKeepsRollouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{lists: []step{{changes: []inventory.Change{{Revision: era.New(0, 1), Table: config(t, 1)}, orderOf("s", 1), decisionOf("s", 4, 2)}, revision: 2}}}
		current, f := runFollower(t, s, 100*time.Millisecond)
		f.AdoptSnapshot("older", &inventory.Snapshot{Table: config(t, 1), Revision: era.New(0, 9)}, confirmedNow())
		is.Equal(current.Load().Revision, era.New(0, 9))
		is.Equal(current.Load().Rollouts["s"].Step, int64(4))
		is.Equal(current.Load().RolloutOrders["s"].Target, "v2")
		f.AdoptSnapshot("same", &inventory.Snapshot{
			Table: config(t, 1), Revision: era.New(0, 10), RolloutOrders: map[string]rollout.Order{}, Rollouts: map[string]rollout.State{},
		}, confirmedNow())
		is.Equal(len(current.Load().Rollouts), 0)
		is.Equal(len(current.Load().RolloutOrders), 0)
	})
}

// withoutRollouts returns an answer as an older build gives it.
func withoutRollouts(raw []byte) []byte {
	var answer map[string]any
	if json.Unmarshal(raw, &answer) != nil {
		return raw
	}
	names := []string{"hasRollouts", "rolloutOrders", "rollouts", "rolloutOrder", "rolloutWithdrawn", "rollout", "rolloutOver"}
	changes, _ := answer["changes"].([]any)
	for _, part := range append(changes, answer) {
		for _, name := range names {
			delete(part.(map[string]any), name)
		}
	}
	raw, _ = json.Marshal(answer)
	return raw
}

// TestLeadOfAnOlderBuildHidesNoRollouts guards against instances that miss an order, and
// go on with a version that is barred, while the fleet is upgraded.
func TestLeadOfAnOlderBuildHidesNoRollouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newFleet(t, 3)
		defer stop()
		sleep(t, 5*time.Second)
		for _, n := range f.nodes {
			n.older.Store(true)
		}
		f.start("new", inventory.WithRolloutsRequired(true))
		sleep(t, propagationBound)
		f.log.add(orderOf("s", 9))
		sleep(t, propagationBound)
		is.Equal(f.nodes["new"].current.Load().RolloutOrders["s"].Target, "v2")
	})
}

// TestListAfterASnapshotOfAnOlderBuild guards against an order that was written before
// the revision of such a snapshot and is never read.
func TestListAfterASnapshotOfAnOlderBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, enabled := range []bool{true, false} {
			is := is.New(t)
			s := &script{lists: []step{
				{changes: []inventory.Change{{Revision: era.New(0, 1), Table: config(t, 1)}}, revision: 1},
				{changes: []inventory.Change{{Revision: era.New(0, 1), Table: config(t, 1)}, orderOf("s", 5)}, revision: 9},
			}}
			current := inventory.NewCurrent(clock.System())
			f := inventory.NewFollower(clock.System(), s, current, hclog.NewNullLogger(), inventory.WithRollouts(enabled))
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			group.Go(func() { _ = f.Run(ctx) })
			sleep(t, time.Second)
			f.AdoptSnapshot("older", &inventory.Snapshot{Table: config(t, 1), Revision: era.New(0, 9)}, confirmedNow())
			sleep(t, 5*time.Second)
			is.Equal(len(current.Load().RolloutOrders) == 1, enabled)
			cancel()
			group.Wait()
		}
	})
}
