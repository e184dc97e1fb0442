package inventory_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/golden"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/rollout"
	"github.com/matryer/is"
)

// description is the change of a runner that tells how often it has described itself.
func description(id string, n, revision, count int64, draining bool) inventory.Change {
	c := runnerIn(id, n, revision)
	c.Runner.Born, c.Runner.Count, c.Runner.Draining = 5, count, draining
	return c
}

// everything is a list with an item of each kind, in era 1.
func everything(t *testing.T) []inventory.Change {
	at := func(n int64) era.Revision { return era.New(1, n) }
	return []inventory.Change{
		{Revision: at(1), Table: config(t, 7)},
		description("leaving", 1, 2, 9, true),
		description("new", 1, 3, 1, false),
		{Revision: at(4), ZoneOut: "z"},
		{Revision: at(4), ZoneOut: "twice"},
		{Revision: at(5), Instance: &inventory.Instance{Name: "i", Zone: "z", Revision: at(5)}},
		{Revision: at(6), Quarantine: &inventory.Quarantine{ID: "q", Service: "s", Parts: []string{"p"}, Revision: at(6)}},
		{Revision: at(7), RolloutOrder: &rollout.Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: at(7)}},
		{Revision: at(8), Rollout: &rollout.State{Service: "s", Target: "v2", Step: 3, OrderRevision: 7, OrderEra: 1, Revision: at(8)}},
	}
}

// older is what the copy has of it, in era 2.
func older(t *testing.T) []inventory.Change {
	return []inventory.Change{
		{Revision: era.New(2, 1), Table: config(t, 5)},
		description("leaving", 2, 2, 4, false),
	}
}

// text describes a snapshot.
func text(s *inventory.Snapshot) string {
	var out strings.Builder
	table := int64(0)
	if s.Table != nil {
		table = s.Table.Version()
	}
	_, _ = fmt.Fprintf(&out, "revision %d/%d configuration %d\n", s.Revision.Era, s.Revision.Number, table)
	line := func(kind, name string, r era.Revision, rest ...any) {
		_, _ = fmt.Fprintf(&out, "  %s %s %d/%d %v\n", kind, name, r.Era, r.Number, rest)
	}
	for _, id := range slices.Sorted(maps.Keys(s.Runners)) {
		line("runner", id, s.Runners[id].Revision, "draining", s.Runners[id].Draining)
	}
	for _, zone := range slices.Sorted(maps.Keys(s.ZonesOut)) {
		line("zone out", zone, s.Revision, "carried", s.CarriedZones[zone])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Instances)) {
		line("instance", name, s.Instances[name].Revision)
	}
	for _, id := range slices.Sorted(maps.Keys(s.Quarantines)) {
		line("quarantine", id, s.Quarantines[id].Revision)
	}
	for _, service := range slices.Sorted(maps.Keys(s.RolloutOrders)) {
		line("order", service, s.RolloutOrders[service].Revision)
	}
	for _, service := range slices.Sorted(maps.Keys(s.Rollouts)) {
		line("decision", service, s.Rollouts[service].Revision)
	}
	return out.String()
}

// TestWhatTheCopyLacksIsCarried guards against an evacuated zone, a quarantine, a key that was
// taken away, a leaving runner or an order that the drill undoes until it is written again. It
// compares the view over time with a golden file.
func TestWhatTheCopyLacksIsCarried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quiet := step{after: 500 * time.Millisecond, era: 2, revision: 3}
		s := &script{
			lists: []step{{changes: everything(t), era: 1, revision: 9}, {changes: older(t), era: 2, revision: 2}},
			steps: append([]step{
				{err: fault.New(fault.HistoryGone, "410")},
				{changes: []inventory.Change{zoneOutIn("twice", 2, 3)}, era: 2, revision: 3},
			}, slices.Repeat([]step{quiet}, 80)...),
		}
		var out strings.Builder
		for _, d := range []time.Duration{0, time.Second, 4 * time.Second, 8 * time.Second, 32 * time.Second} {
			played := &script{lists: slices.Clone(s.lists), steps: slices.Clone(s.steps)}
			current, _ := runFollower(t, played, 5*time.Millisecond+d)
			_, _ = fmt.Fprintf(&out, "after %v: %s", d, text(current.Load()))
		}
		golden.Check(t, "testdata/carried.golden", out.String())
	})
}

// TestChangesOfTheEraReplaceWhatIsCarried has the operator take back a zone, and write the
// order again, of which the copy has nothing.
func TestChangesOfTheEraReplaceWhatIsCarried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		again := rollout.Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: era.New(2, 4), SeenAt: clock.System().Now().Add(time.Hour)}
		s := &script{
			lists: []step{{changes: everything(t), era: 1, revision: 9}, {changes: older(t), era: 2, revision: 2}},
			steps: []step{
				{err: fault.New(fault.HistoryGone, "410")},
				{changes: []inventory.Change{
					{Revision: era.New(2, 3), ReturnedZone: "z"}, {Revision: again.Revision, RolloutOrder: &again}, {Revision: era.New(2, 5), RemovedRunner: "new"},
				}, era: 2, revision: 5},
			},
		}
		current, _ := runFollower(t, s, time.Second)
		view := current.Load()
		is.True(!view.ZonesOut["z"] && view.ZonesOut["twice"])
		is.Equal(view.RolloutOrders["s"].Revision, again.Revision)
		is.True(view.RolloutOrders["s"].SeenAt.Before(again.SeenAt)) // it counts from when it was first written
		is.Equal(view.Runners["new"], nil)
		is.Equal(view.Table.Version(), int64(7)) // the copy has an older one
	})
}

// TestInstanceThatStartsAfterTheReturnLearnsWhatIsCarried guards against an instance that knows
// the copy alone.
func TestInstanceThatStartsAfterTheReturnLearnsWhatIsCarried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{
			lists: []step{{changes: everything(t), era: 1, revision: 9}, {changes: older(t), era: 2, revision: 2}},
			steps: []step{{err: fault.New(fault.HistoryGone, "410")}},
		}
		known, _ := runFollower(t, s, time.Second)
		current, f := runFollower(t, &script{lists: []step{{changes: older(t), era: 2, revision: 2}}}, time.Second)
		is.True(!current.Load().ZonesOut["z"])
		f.AdoptSnapshot("other", known.Load(), confirmedNow())
		is.Equal(text(current.Load()), text(known.Load()))
		same := current.Load()
		f.AdoptSnapshot("other", known.Load(), confirmedNow())
		is.Equal(current.Load(), same) // nothing is new
	})
}

// TestRunnerThatLeftStaysAwayAlthoughTheCopyHasIt guards against calls to a runner that was
// gone before the drill. One that lives describes itself again.
func TestRunnerThatLeftStaysAwayAlthoughTheCopyHasIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{
			lists: []step{
				{changes: []inventory.Change{description("left", 1, 2, 7, false), description("lapsed", 1, 3, 4, false)}, era: 1, revision: 3},
				{changes: []inventory.Change{description("left", 2, 2, 6, false), description("lapsed", 2, 3, 4, false), description("other", 2, 1, 1, false)}, era: 2, revision: 3},
			},
			steps: []step{
				{changes: []inventory.Change{{Revision: era.New(1, 8), RemovedRunner: "left"}, {Revision: era.New(1, 9), RemovedRunner: "lapsed"}}, era: 1, revision: 9},
				{err: fault.New(fault.HistoryGone, "410")},
				{changes: []inventory.Change{description("lapsed", 2, 4, 5, false), description("left", 2, 5, 7, false)}, era: 2, revision: 5},
			},
		}
		current, _ := runFollower(t, s, time.Second)
		is.Equal(slices.Sorted(maps.Keys(current.Load().Runners)), []string{"lapsed", "other"})
	})
}

// afterDrill runs a follower that knew everything in era 1 and the copy in era 2, with further
// lists and steps of that era.
func afterDrill(t *testing.T, lists, steps []step) (*inventory.Current, inventory.Follower) {
	t.Helper()
	s := &script{
		lists: append([]step{{changes: everything(t), era: 1, revision: 9}, {changes: older(t), era: 2, revision: 2}}, lists...),
		steps: append([]step{{err: fault.New(fault.HistoryGone, "410")}}, steps...),
	}
	return runFollower(t, s, time.Second)
}

// TestListsOfTheEraEndNothingThatIsCarried has the store lose its history once more, as it does
// in calm.
func TestListsOfTheEraEndNothingThatIsCarried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want, _ := afterDrill(t, nil, nil)
		current, _ := afterDrill(t, []step{{changes: older(t), era: 2, revision: 2}}, []step{{err: fault.New(fault.HistoryGone, "410")}})
		is.New(t).Equal(text(current.Load()), text(want.Load()))
	})
}

// TestNothingThatEndedIsCarriedOnByOthers guards against a zone, an instance, a quarantine, an
// order and a runner that come back from an instance that hasn't read their end.
func TestNothingThatEndedIsCarriedOnByOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		behind, _ := afterDrill(t, nil, nil)
		at := func(n int64) era.Revision { return era.New(2, n) }
		current, f := afterDrill(t, nil, []step{{changes: []inventory.Change{
			{Revision: at(3), ReturnedZone: "z"},
			{Revision: at(4), RemovedInstance: "i"},
			{Revision: at(5), EndedQuarantine: "q"},
			{Revision: at(6), WithdrawnRollout: "s"},
			{Revision: at(7), EndedRollout: "s"},
			{Revision: at(8), RemovedRunner: "new"},
		}, era: 2, revision: 8}})
		want := text(current.Load())
		f.AdoptSnapshot("behind", behind.Load(), confirmedNow())
		is.Equal(text(current.Load()), want)
		is.True(!current.Load().ZonesOut["z"] && current.Load().ZonesOut["twice"])
		ahead := *behind.Load()
		ahead.Revision = at(9)
		f.AdoptSnapshot("ahead", &ahead, confirmedNow()) // it has read more, but carries on what has ended
		is.Equal(text(current.Load()), strings.Replace(strings.ReplaceAll(want, "2/8", "2/9"), "2/8", "2/9", 1))
	})
}

// TestCarriedQuarantinesAreBounded guards against quarantines that add up over drills, as anyone
// may write them.
func TestCarriedQuarantinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const most = 256
		s := &script{steps: slices.Repeat([]step{{err: fault.New(fault.HistoryGone, "410")}}, 3)}
		for n := range int64(4) {
			var list []inventory.Change
			for i := range most {
				id := fmt.Sprint(n, "-", i)
				at := era.New(n+1, int64(i+1))
				list = append(list, inventory.Change{Revision: at, Quarantine: &inventory.Quarantine{ID: id, Revision: at}})
			}
			s.lists = append(s.lists, step{changes: list, era: n + 1, revision: most})
		}
		current, _ := runFollower(t, s, 2*time.Second)
		is.Equal(current.Load().Revision.Era, int64(4))
		is.Equal(len(current.Load().Quarantines), most)
		is.True(current.Load().Quarantines["3-0"] != nil) // those of the store stay
	})
}

// TestSnapshotOfAnEarlierEraCarriesNothing guards against what an instance carried through the
// drill before, and told late.
func TestSnapshotOfAnEarlierEraCarriesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		current, f := afterDrill(t, nil, nil)
		want := text(current.Load())
		late := &inventory.Snapshot{Revision: era.New(1, 30), ZonesOut: map[string]bool{"x": true}, CarriedZones: map[string]bool{"x": true}, EraSince: clock.System().Now()}
		f.AdoptSnapshot("late", late, confirmedNow())
		is.New(t).Equal(text(current.Load()), want)
	})
}
