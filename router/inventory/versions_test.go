package inventory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"github.com/matryer/is"
)

func versionsOf(service string, revision int64) inventory.Change {
	return inventory.Change{Revision: era.New(0, revision), Versions: &inventory.ServiceVersions{Service: service, Versions: []string{"v1", "v2"}, Revision: era.New(0, revision)}}
}

// TestVersionsReachInstancesThatDontReadTheStore has records in a zone with one lead, and in
// an instance that only has another instance's snapshot.
func TestVersionsReachInstancesThatDontReadTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newFleet(t, 4)
		defer stop()
		sleep(t, 5*time.Second)
		f.log.add(versionsOf("s", 7))
		f.log.add(versionsOf("other", 8))
		sleep(t, propagationBound)
		f.refuseNew = true
		f.start("late", inventory.WithSeeds([]string{"n1"}))
		sleep(t, propagationBound)
		for _, n := range f.nodes {
			is.Equal(n.current.Load().Versions["s"], *versionsOf("s", 7).Versions)
		}
		f.log.add(inventory.Change{EndedVersions: "s"})
		sleep(t, propagationBound)
		for _, n := range f.nodes {
			is.Equal(len(n.current.Load().Versions), 1)
		}
	})
}

// TestListImpliesTheEndOfVersions covers a record whose removal this instance missed.
func TestListImpliesTheEndOfVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{
			lists: []step{
				{changes: []inventory.Change{versionsOf("s", 1), versionsOf("t", 2)}, revision: 2},
				{changes: []inventory.Change{versionsOf("t", 2)}, revision: 3},
			},
			steps: []step{{err: fault.New(fault.HistoryGone, "gone")}},
		}
		current, _ := runFollower(t, s, 5*time.Second)
		is.New(t).Equal(current.Load().Versions, map[string]inventory.ServiceVersions{"t": *versionsOf("t", 2).Versions})
	})
}

// TestSnapshotOfAnOlderBuildKeepsVersions guards against a version that left and is
// forgotten because an instance of an older build supplied the snapshot.
func TestSnapshotOfAnOlderBuildKeepsVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{lists: []step{{changes: []inventory.Change{{Revision: era.New(0, 1), Table: config(t, 1)}, versionsOf("s", 2)}, revision: 2}}}
		current, f := runFollower(t, s, 100*time.Millisecond)
		f.AdoptSnapshot("older", &inventory.Snapshot{Table: config(t, 1), Revision: era.New(0, 9)}, confirmedNow())
		is.Equal(len(current.Load().Versions), 1)
		f.AdoptSnapshot("same", &inventory.Snapshot{Table: config(t, 1), Revision: era.New(0, 10), Versions: map[string]inventory.ServiceVersions{}}, confirmedNow())
		is.Equal(len(current.Load().Versions), 0)
	})
}
