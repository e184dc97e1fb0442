package inventory_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// runnerIn is the change of a runner in an era.
func runnerIn(id string, n, revision int64) inventory.Change {
	c := runner(id, revision)
	c.Revision, c.Runner.Revision = era.New(n, revision), era.New(n, revision)
	return c
}

func zoneOutIn(zone string, n, revision int64) inventory.Change {
	return inventory.Change{Revision: era.New(n, revision), ZoneOut: zone}
}

// TestListOfLaterEraIsTaken guards against ignoring a store that came back from a copy, whose
// revisions are below the known ones.
func TestListOfLaterEraIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{
			lists: []step{
				{changes: []inventory.Change{runnerIn("a", 1, 8)}, era: 1, revision: 9},
				{changes: []inventory.Change{runnerIn("a", 2, 3), zoneOutIn("z", 2, 4)}, era: 2, revision: 4},
			},
			steps: []step{{err: fault.New(fault.HistoryGone, "410")}, {changes: []inventory.Change{zoneOutIn("y", 2, 5)}, era: 2, revision: 5}},
		}
		current, f := runFollower(t, s, time.Second)
		is.Equal(current.Load().Revision, era.New(2, 5))
		is.True(current.Load().ZonesOut["z"] && current.Load().ZonesOut["y"])
		is.Equal(current.Load().Runners["a"].Revision, era.New(2, 3))
		confirmed := current.Age()
		f.AdoptChanges("late", []inventory.Change{zoneOutIn("x", 1, 10)}, era.New(1, 10), confirmedNow())
		f.AdoptSnapshot("late", &inventory.Snapshot{Table: config(t, 9), Revision: era.New(1, 20)}, confirmedNow())
		is.Equal(current.Load().Revision, era.New(2, 5))
		is.True(!current.Load().ZonesOut["x"] && current.Load().Table == nil)
		is.Equal(current.Age(), confirmed) // an earlier era confirms nothing
	})
}

// TestChangesOfAnotherEraAreNotApplied has a source that answers with changes of another era, a
// later and an earlier one.
func TestChangesOfAnotherEraAreNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{
			lists: []step{{changes: []inventory.Change{runnerIn("a", 1, 8)}, era: 1, revision: 9}, {changes: []inventory.Change{runnerIn("a", 2, 3)}, era: 2, revision: 4}},
			steps: []step{
				{changes: []inventory.Change{zoneOutIn("y", 2, 12)}, era: 2, revision: 12},
				{after: time.Second, era: 2, revision: 4},
				{after: 500 * time.Millisecond, changes: []inventory.Change{zoneOutIn("x", 1, 14)}, era: 1, revision: 14},
			},
		}
		current, _ := runFollower(t, s, 2*time.Second)
		is.Equal(s.listed, 2)
		is.Equal(current.Load().Revision, era.New(2, 4))
		is.True(!current.Load().ZonesOut["x"] && !current.Load().ZonesOut["y"])
		is.True(current.Age() > 1900*time.Millisecond) // the last answer confirms nothing
	})
}

// TestInstanceLearnsEraFromAnotherOne has an instance that gets no answer of the store.
func TestInstanceLearnsEraFromAnotherOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{lists: []step{{changes: []inventory.Change{runnerIn("a", 1, 8)}, era: 1, revision: 9}}}
		current, f := runFollower(t, s, 50*time.Millisecond)
		next := &inventory.Snapshot{Table: config(t, 3), Revision: era.New(2, 4), Runners: map[string]*inventory.Runner{"a": runnerIn("a", 2, 3).Runner}, ZonesOut: map[string]bool{"z": true}}
		f.AdoptChanges("other", []inventory.Change{zoneOutIn("z", 2, 4)}, era.New(2, 4), confirmedNow())
		is.Equal(current.Load().Revision, era.New(1, 9)) // changes of another era don't continue the view
		f.AdoptSnapshot("other", next, confirmedNow())
		is.Equal(current.Load().Revision, era.New(2, 4))
		is.True(current.Load().ZonesOut["z"])
	})
}

// TestLateAnswersOfAnEarlierEraAreIgnored has a list of an earlier era arrive after another
// instance has told of the next one.
func TestLateAnswersOfAnEarlierEraAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		current := inventory.NewCurrent(clock.System())
		s := &script{lists: []step{
			{changes: []inventory.Change{runnerIn("a", 1, 8)}, era: 1, revision: 9},
			{after: time.Second, changes: []inventory.Change{zoneOutIn("x", 1, 11)}, era: 1, revision: 11},
			{changes: []inventory.Change{runnerIn("a", 2, 3)}, era: 2, revision: 4},
		}, steps: []step{{err: fault.New(fault.HistoryGone, "410")}}}
		f := inventory.NewFollower(clock.System(), s, current, hclog.NewNullLogger(), inventory.WithBatchDelay(10*time.Millisecond))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		_ = clock.System().Sleep(t.Context(), 500*time.Millisecond)
		f.AdoptSnapshot("other", &inventory.Snapshot{Table: config(t, 3), Revision: era.New(2, 4)}, confirmedNow())
		_ = clock.System().Sleep(t.Context(), 3*time.Second)
		is.Equal(current.Load().Revision, era.New(2, 4))
		is.True(!current.Load().ZonesOut["x"])
		cancel()
		is.NoErr(<-done)
		is.Equal(s.listed, 3) // the list is read again
	})
}
