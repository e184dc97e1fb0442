package inventory_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// countKnowing returns how many instances of a fleet have a runner in their
// snapshot.
func (f *fleet) countKnowing(id string) int {
	count := 0
	for _, n := range f.nodes {
		if n.current.Load().Runners[id] != nil {
			count++
		}
	}
	return count
}

func TestRemovalsAroundLeadRecoveryReachZone(t *testing.T) {
	for name, fail := range map[string]func(n *node, on bool){
		"refused":  func(n *node, on bool) { n.sourceRefuses.Store(on) },
		"isolated": func(n *node, on bool) { n.isolated.Store(on) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, stop := newFleet(t, 3)
				defer stop()
				f.log.add(runner("before", 0))
				f.log.add(runner("after", 0))
				sleep(t, 5*time.Second)
				lead := f.lead()
				fail(lead, true)
				sleep(t, 4*time.Second)
				f.log.add(inventory.Change{RemovedRunner: "before"})
				fail(lead, false)
				sleep(t, 400*time.Millisecond)
				f.log.add(inventory.Change{RemovedRunner: "after"})
				sleep(t, propagationBound)
				is.Equal(f.countKnowing("before"), 0)
				is.Equal(f.countKnowing("after"), 0)
			})
		})
	}
}

// refuseAll sets whether the source refuses all instances.
func (f *fleet) refuseAll(on bool) {
	for _, n := range f.nodes {
		n.sourceRefuses.Store(on)
	}
}

func TestRunnersExpiredDuringStoreOutageStayInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newFleet(t, 3)
		defer stop()
		f.log.add(runner("back", 0))
		f.log.add(runner("left", 0))
		sleep(t, 5*time.Second)
		f.refuseAll(true)
		sleep(t, 5*time.Second)
		f.log.add(inventory.Change{RemovedRunner: "back"})
		f.log.add(inventory.Change{RemovedRunner: "left"})
		f.refuseAll(false)
		f.start("fresh") // has never seen the runners, so it must not confirm their removal
		for range 10 {
			sleep(t, 100*time.Millisecond)
			is.Equal(f.countKnowing("back"), 3)
		}
		f.log.add(runner("back", 0))
		// Instances detect the end of the outage within a second.
		sleep(t, time.Second+propagationBound)
		is.Equal(f.countKnowing("back"), 4)
		is.Equal(f.countKnowing("left"), 0)
	})
}

func TestDisconnectedInstanceLearnsOfRemovalsInTime(t *testing.T) {
	// recoveryBound is the time after the end of a disconnection within which an
	// instance is up to date again.
	const recoveryBound = 3 * time.Second
	for disconnection := 4 * time.Second; disconnection < 5500*time.Millisecond; disconnection += 100 * time.Millisecond {
		t.Run(disconnection.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, stop := newFleet(t, 3)
				defer stop()
				f.log.add(runner("r", 0))
				sleep(t, 5*time.Second)
				lead := f.lead()
				lead.isolated.Store(true)
				sleep(t, time.Second)
				f.log.add(inventory.Change{RemovedRunner: "r"})
				sleep(t, disconnection-time.Second)
				lead.isolated.Store(false)
				sleep(t, recoveryBound)
				is.New(t).Equal(f.countKnowing("r"), 0)
			})
		})
	}
}

func TestAdoptedSnapshotDecidesHeldRemovals(t *testing.T) {
	type peerView struct {
		// confirmedAgo and connectedAgo are relative to when the first removal
		// is held back, just after the end of the outage.
		confirmedAgo, connectedAgo time.Duration
		revision                   int64
		runners                    []string
		heldRemoval                string
	}
	for name, c := range map[string]struct {
		view peerView
		want []string
	}{
		"connected throughout":                         {peerView{confirmedAgo: 0, connectedAgo: time.Hour, revision: 1}, nil},
		"connected throughout, newer":                  {peerView{confirmedAgo: 0, connectedAgo: time.Hour, revision: 9}, nil},
		"not confirmed after the outage":               {peerView{confirmedAgo: outageDuration, connectedAgo: time.Hour, revision: 1}, []string{"r"}},
		"connected only since the outage's end":        {peerView{revision: 1}, []string{"r"}},
		"connected only since the outage's end, newer": {peerView{revision: 9, runners: []string{"new"}}, []string{"new", "r"}},
		"holds the removal, too":                       {peerView{revision: 9, runners: []string{"r"}, heldRemoval: "r"}, []string{"r"}},
		"connected throughout, runner is back":         {peerView{connectedAgo: time.Hour, revision: 9, runners: []string{"r"}}, []string{"r"}},
		"connected throughout, held the removal":       {peerView{connectedAgo: time.Hour, revision: 9, runners: []string{"r"}, heldRemoval: "r"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &script{
					lists: []step{{changes: []inventory.Change{runner("r", 1)}, revision: 1}},
					steps: []step{
						{after: 1500 * time.Millisecond, err: errUnavailable},
						{after: 1500 * time.Millisecond, err: errUnavailable},
						{changes: []inventory.Change{runnerRemoval("r", 2)}, revision: 2},
					},
				}
				current := inventory.NewCurrent(clock.System())
				f := inventory.NewFollower(clock.System(), s, current, hclog.NewNullLogger())
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- f.Run(ctx) }()
				for len(current.Load().HeldRemovals) == 0 {
					sleep(t, 10*time.Millisecond)
				}
				peerSnapshot := &inventory.Snapshot{Revision: era.New(0, c.view.revision), Runners: map[string]*inventory.Runner{}, HeldRemovals: map[string]era.Revision{}}
				for _, id := range c.view.runners {
					peerSnapshot.Runners[id] = runner(id, 3).Runner
				}
				if c.view.heldRemoval != "" {
					peerSnapshot.HeldRemovals[c.view.heldRemoval] = era.New(0, 4)
				}
				now := clock.System().Now()
				f.AdoptSnapshot("other", peerSnapshot, inventory.Freshness{ConfirmedAt: now.Add(-c.view.confirmedAgo), ConnectedSince: now.Add(-c.view.connectedAgo)})
				is.Equal(slices.Sorted(maps.Keys(current.Load().Runners)), c.want)
				cancel()
				is.NoErr(<-done)
			})
		})
	}
}

// TestRemovalsAreHeldNoLongerThanTheGrace has a removal read with the first answer after an
// outage.
func TestRemovalsAreHeldNoLongerThanTheGrace(t *testing.T) {
	for _, c := range []struct{ grace, held time.Duration }{
		{-time.Second, 0},
		{1300 * time.Millisecond, 1300 * time.Millisecond},
		{10 * time.Second, 2 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &script{
				lists: []step{{changes: []inventory.Change{runner("r", 1)}, revision: 1}},
				steps: []step{
					{after: 1500 * time.Millisecond, err: errUnavailable},
					{after: 1500 * time.Millisecond, err: errUnavailable},
					{changes: []inventory.Change{runnerRemoval("r", 2)}, revision: 2},
				},
			}
			current := inventory.NewCurrent(clock.System())
			f := inventory.NewFollower(clock.System(), s, current, hclog.NewNullLogger(), inventory.WithRemovalGrace(c.grace))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- f.Run(ctx) }()
			const step = time.Millisecond // both moments are seen up to a step late
			for current.Load().Revision.Number < 2 {
				sleep(t, step)
			}
			since := clock.System().Now()
			for current.Load().Runners["r"] != nil {
				sleep(t, step)
			}
			held := clock.System().Now().Sub(since)
			if held > c.held+step || held < c.held-step {
				t.Errorf("with %v the removal is held back for %v", c.grace, held)
			}
			cancel()
			is.New(t).NoErr(<-done)
		})
	}
}
