package inventory_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/routing"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// step is an answer of a scripted source.
type step struct {
	// after is how long the answer takes.
	after   time.Duration
	changes []inventory.Change
	// era and revision are the revision of the answer.
	era, revision int64
	err           error
}

// script is a Source that answers each call with the next step. After the last
// step, calls block until their context ends.
type script struct {
	lists, steps []step
	listed       int
}

func (s *script) List(ctx context.Context) ([]inventory.Change, era.Revision, error) {
	s.listed++
	return answer(ctx, &s.lists)
}

func (s *script) Changes(ctx context.Context, _ era.Revision, _ time.Duration) ([]inventory.Change, era.Revision, error) {
	return answer(ctx, &s.steps)
}

func answer(ctx context.Context, steps *[]step) ([]inventory.Change, era.Revision, error) {
	if len(*steps) == 0 {
		<-ctx.Done()
		return nil, era.Revision{}, ctx.Err()
	}
	next := (*steps)[0]
	*steps = (*steps)[1:]
	if err := clock.System().Sleep(ctx, next.after); err != nil {
		return nil, era.Revision{}, err
	}
	return next.changes, era.New(next.era, next.revision), next.err
}

var errUnavailable = errors.New("store is unavailable")

func config(t *testing.T, version int64) *routing.Table {
	t.Helper()
	table, err := routing.NewTable(routing.Config{Version: version})
	is.New(t).NoErr(err)
	return table
}

func runner(id string, revision int64) inventory.Change {
	return inventory.Change{Revision: era.New(0, revision), Runner: &inventory.Runner{ID: id, Service: "s", Zone: "z", Revision: era.New(0, revision)}}
}

func runnerRemoval(id string, revision int64) inventory.Change {
	return inventory.Change{Revision: era.New(0, revision), RemovedRunner: id}
}

// runFollower runs a follower with a scripted source for d.
func runFollower(t *testing.T, s *script, d time.Duration) (*inventory.Current, inventory.Follower) {
	t.Helper()
	current := inventory.NewCurrent(clock.System())
	f := inventory.NewFollower(clock.System(), s, current, hclog.NewNullLogger(), inventory.WithBatchDelay(10*time.Millisecond))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	_ = clock.System().Sleep(t.Context(), d)
	cancel()
	is.New(t).NoErr(<-done)
	return current, f
}

func confirmedNow() inventory.Freshness {
	return inventory.Freshness{ConfirmedAt: clock.System().Now()}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{
			lists: []step{{changes: []inventory.Change{{Revision: era.New(0, 5), Table: config(t, 7)}}, revision: 5}},
			steps: []step{{changes: []inventory.Change{{Revision: era.New(0, 6), Table: config(t, 3)}}, revision: 6}},
		}
		current, f := runFollower(t, s, 100*time.Millisecond)
		is.New(t).Equal(current.Load().Table.Version(), int64(7))
		f.AdoptSnapshot("other", &inventory.Snapshot{Table: config(t, 4), Revision: era.New(0, 9)}, confirmedNow())
		is.New(t).Equal(current.Load().Table.Version(), int64(7))
		f.AdoptSnapshot("other", &inventory.Snapshot{Table: config(t, 9), Revision: era.New(0, 2)}, confirmedNow())
		is.New(t).Equal(current.Load().Table.Version(), int64(7)) // an older snapshot is ignored
	})
}

func TestConfirmationCountsFromTheStartOfTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{
			lists: []step{{revision: 1}},
			steps: []step{{after: time.Second, revision: 1}},
		}
		current, _ := runFollower(t, s, 1050*time.Millisecond)
		is.New(t).True(current.Age() >= time.Second)
	})
}

// outageDuration is the time between the first two answers in scripts of
// runFollower with two failures of 1500 ms each between them: the batch delay of
// 10 ms, the first failure, a delay of 100 ms, the second failure, which a timeout
// cuts to 1090 ms, and a delay of 200 ms.
const outageDuration = 2900 * time.Millisecond

func TestRunnersExpiredDuringOutageAreKeptForGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{
			lists: []step{{changes: []inventory.Change{runner("back", 1), runner("dead", 2)}, revision: 2}},
			steps: []step{
				{after: 1500 * time.Millisecond, err: errUnavailable},
				{after: 1500 * time.Millisecond, err: errUnavailable},
				{changes: []inventory.Change{runnerRemoval("back", 3), runnerRemoval("dead", 4)}, revision: 4},
				{after: 500 * time.Millisecond, changes: []inventory.Change{runner("back", 5)}, revision: 5},
				{after: 500 * time.Millisecond, revision: 5},
				{after: 1200 * time.Millisecond, revision: 5},
			},
		}
		current, _ := runFollower(t, s, outageDuration+1500*time.Millisecond)
		is.Equal(len(current.Load().Runners), 2)
		s = &script{
			lists: []step{{changes: []inventory.Change{runner("back", 1), runner("dead", 2)}, revision: 2}},
			steps: []step{
				{after: 1500 * time.Millisecond, err: errUnavailable},
				{after: 1500 * time.Millisecond, err: errUnavailable},
				{changes: []inventory.Change{runnerRemoval("back", 3), runnerRemoval("dead", 4)}, revision: 4},
				{after: 500 * time.Millisecond, changes: []inventory.Change{runner("back", 5)}, revision: 5},
				{after: 1800 * time.Millisecond, revision: 5},
			},
		}
		current, _ = runFollower(t, s, outageDuration+3*time.Second)
		is.Equal(len(current.Load().Runners), 1)
		is.True(current.Load().Runners["back"] != nil)
	})
}

func TestRemovalAfterOneFailedCallIsAppliedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{
			lists: []step{{changes: []inventory.Change{runner("a", 1)}, revision: 1}},
			steps: []step{{err: errUnavailable}, {changes: []inventory.Change{runnerRemoval("a", 2)}, revision: 2}},
		}
		current, _ := runFollower(t, s, 300*time.Millisecond)
		is.New(t).Equal(len(current.Load().Runners), 0)
	})
}

func TestRemovalWithoutOutageIsAppliedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{
			lists: []step{{changes: []inventory.Change{runner("a", 1)}, revision: 1}},
			steps: []step{{changes: []inventory.Change{runnerRemoval("a", 2)}, revision: 2}},
		}
		current, _ := runFollower(t, s, 100*time.Millisecond)
		is.New(t).Equal(len(current.Load().Runners), 0)
	})
}

func TestItemsAreListedAgainAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{
			lists: []step{
				{changes: []inventory.Change{runner("a", 1), runner("b", 2), {Revision: era.New(0, 3), ZoneOut: "z"}}, revision: 3},
				{changes: []inventory.Change{runner("b", 2)}, revision: 9},
			},
			steps: []step{{err: fault.New(fault.HistoryGone, "compacted")}},
		}
		current, f := runFollower(t, s, time.Second)
		is.Equal(s.listed, 2)
		is.Equal(len(current.Load().Runners), 1)
		is.Equal(len(current.Load().ZonesOut), 0)
		is.Equal(current.Load().ReturnedZones["z"].Revision, era.New(0, 9))
		is.Equal(f.FailingFor(), time.Duration(0)) // the store answered
	})
}

func TestBlockedCallCountsAsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{lists: []step{{revision: 1}}}
		_, f := runFollower(t, s, 5*time.Second)
		is.New(t).True(f.FailingFor() > 2*time.Second)
	})
}

func TestOlderDescriptionsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		draining := runner("a", 5)
		draining.Runner.Draining = true
		s := &script{
			lists: []step{{changes: []inventory.Change{draining}, revision: 5}},
			steps: []step{{changes: []inventory.Change{runner("a", 4)}, revision: 6}},
		}
		current, _ := runFollower(t, s, 100*time.Millisecond)
		is.New(t).True(current.Load().Runners["a"].Draining)
	})
}

func TestOlderDescriptionsOfSameIncarnationAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		described := func(id string, revision, born, count int64, draining bool) inventory.Change {
			c := runner(id, revision)
			c.Runner.Born, c.Runner.Count, c.Runner.Draining = born, count, draining
			return c
		}
		s := &script{
			lists: []step{{changes: []inventory.Change{described("late", 1, 7, 9, true), described("reborn", 2, 7, 9, true)}, revision: 2}},
			steps: []step{{changes: []inventory.Change{described("late", 3, 7, 8, false), described("reborn", 4, 8, 1, false)}, revision: 4}},
		}
		current, _ := runFollower(t, s, 100*time.Millisecond)
		is.True(current.Load().Runners["late"].Draining)
		is.True(!current.Load().Runners["reborn"].Draining)
	})
}

func TestOutdatedAnswersAreIgnored(t *testing.T) {
	for name, s := range map[string]*script{
		"list": {
			lists: []step{{after: time.Second, changes: []inventory.Change{runner("left", 1), runner("stays", 2)}, revision: 2}},
		},
		"changes": {
			lists: []step{{changes: []inventory.Change{runner("stays", 2)}, revision: 2}},
			steps: []step{{after: time.Second, changes: []inventory.Change{runner("left", 3), {Revision: era.New(0, 4), ZoneOut: "z"}}, revision: 4}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				current := inventory.NewCurrent(clock.System())
				f := inventory.NewFollower(clock.System(), s, current, hclog.NewNullLogger())
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- f.Run(ctx) }()
				sleep(t, 600*time.Millisecond)
				newer := map[string]*inventory.Runner{"stays": runner("stays", 2).Runner}
				f.AdoptSnapshot("other", &inventory.Snapshot{Revision: era.New(0, 6), Runners: newer}, confirmedNow())
				sleep(t, time.Second)
				cancel()
				is.NoErr(<-done)
				is.Equal(len(current.Load().Runners), 1)
				is.True(current.Load().Runners["stays"] != nil)
				is.True(!current.Load().ZonesOut["z"])
				is.Equal(current.Load().Revision, era.New(0, 6))
			})
		})
	}
}

func TestOlderChangesFromOtherInstancesAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{lists: []step{{changes: []inventory.Change{{Revision: era.New(0, 9), ReturnedZone: "z"}, runner("a", 8), runner("b", 3)}, revision: 9}}}
		current, f := runFollower(t, s, 100*time.Millisecond)
		older := []inventory.Change{{Revision: era.New(0, 5), ZoneOut: "z"}, {Revision: era.New(0, 6), Instance: &inventory.Instance{Name: "i"}}, runnerRemoval("a", 7), runnerRemoval("b", 7)}
		f.AdoptChanges("other", older, era.New(0, 9), confirmedNow())
		is.True(!current.Load().ZonesOut["z"])
		is.Equal(len(current.Load().Instances), 0)
		is.True(current.Load().Runners["a"] != nil)
		is.True(current.Load().Runners["b"] == nil) // an older removal applies if it is newer than the description
	})
}
