package inventory_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"github.com/matryer/is"
)

func quarantined(id string) inventory.Change {
	return inventory.Change{Quarantine: &inventory.Quarantine{
		ID: id, Service: "s", Parts: []string{"a", "b"}, Evidence: 2 * time.Second, SeenAt: clock.System().Now(),
	}}
}

// TestQuarantinesReachInstancesThatDontReadTheStore changes quarantines in a zone with
// one lead, and in an instance that only has another instance's snapshot.
func TestQuarantinesReachInstancesThatDontReadTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newFleet(t, 4)
		defer stop()
		sleep(t, 5*time.Second)
		f.log.add(quarantined("q1"))
		f.log.add(quarantined("q2"))
		written := clock.System().Now()
		sleep(t, propagationBound)
		f.refuseNew = true
		f.start("late", inventory.WithSeeds([]string{"n1"}))
		sleep(t, propagationBound)
		for name, n := range f.nodes {
			q := n.current.Load().Quarantines["q1"]
			is.True(q != nil)
			is.Equal(q.Parts, []string{"a", "b"})
			is.Equal(q.Evidence, 2*time.Second)
			if late := q.SeenAt.Sub(written); late < 0 || late > propagationBound {
				t.Errorf("%s dates the quarantine %v later", name, late)
			}
		}
		f.log.add(inventory.Change{EndedQuarantine: "q1"})
		sleep(t, propagationBound)
		for _, n := range f.nodes {
			is.Equal(len(n.current.Load().Quarantines), 1)
			is.True(n.current.Load().Quarantines["q2"] != nil)
		}
	})
}

func TestQuarantinesAreBoundedAndEndWithAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var many []inventory.Change
		for n := range 2000 {
			c := quarantined(fmt.Sprint("q", n))
			c.Revision = era.New(0, int64(n+1))
			many = append(many, c)
		}
		s := &script{
			lists: []step{{changes: many, revision: 2000}, {changes: many[:1], revision: 2001}},
			steps: []step{{after: 2 * time.Second, err: fault.New(fault.HistoryGone, "gone")}},
		}
		current, _ := runFollower(t, s, time.Second)
		is.Equal(len(current.Load().Quarantines), 256)
		s = &script{
			lists: []step{{changes: many, revision: 2000}, {changes: many[:1], revision: 2001}},
			steps: []step{{err: fault.New(fault.HistoryGone, "gone")}},
		}
		current, _ = runFollower(t, s, 5*time.Second)
		is.Equal(len(current.Load().Quarantines), 1)
	})
}
