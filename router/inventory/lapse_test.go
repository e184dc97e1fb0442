package inventory_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/inventory"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// knowing returns how many instances of a fleet know a runner.
func (f *fleet) knowing(id string) int {
	n := 0
	for _, x := range f.nodes {
		if x.current.Load().Runners[id] != nil {
			n++
		}
	}
	return n
}

func TestRunnersThatLeaveWhenALeadIsBackAreGoneForItsZone(t *testing.T) {
	for name, fail := range map[string]func(n *node, on bool){
		"refused": func(n *node, on bool) { n.refused.Store(on) },
		"frozen":  func(n *node, on bool) { n.frozen.Store(on) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, stop := newFleet(t, 3)
				defer stop()
				f.log.add(runner("before", 0))
				f.log.add(runner("after", 0))
				rest(t, 5*time.Second)
				lead := f.lead()
				fail(lead, true)
				rest(t, 4*time.Second)
				f.log.add(inventory.Change{RunnerGone: "before"})
				fail(lead, false)
				rest(t, 400*time.Millisecond)
				f.log.add(inventory.Change{RunnerGone: "after"})
				rest(t, inForce)
				is.Equal(f.knowing("before"), 0)
				is.Equal(f.knowing("after"), 0)
			})
		})
	}
}

// cut cuts all instances off from the source, or none.
func (f *fleet) cut(on bool) {
	for _, x := range f.nodes {
		x.refused.Store(on)
	}
}

func TestRunnersThatLapseInAnOutageOfTheStoreStayInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newFleet(t, 3)
		defer stop()
		f.log.add(runner("back", 0))
		f.log.add(runner("left", 0))
		rest(t, 5*time.Second)
		f.cut(true)
		rest(t, 5*time.Second)
		f.log.add(inventory.Change{RunnerGone: "back"})
		f.log.add(inventory.Change{RunnerGone: "left"})
		f.cut(false)
		f.start("fresh") // knows nothing of the runners, and can't vouch for their absence
		for range 10 {
			rest(t, 100*time.Millisecond)
			is.Equal(f.knowing("back"), 3)
		}
		f.log.add(runner("back", 0))
		// Instances notice the store's return within a second.
		rest(t, time.Second+inForce)
		is.Equal(f.knowing("back"), 4)
		is.Equal(f.knowing("left"), 0)
	})
}

func TestAnInstanceThatWasCutOffKnowsInTimeWhoLeftMeanwhile(t *testing.T) {
	// inTouch is how long after a cut an instance keeps all bounds again.
	const inTouch = 3 * time.Second
	for cut := 4 * time.Second; cut < 5500*time.Millisecond; cut += 100 * time.Millisecond {
		t.Run(cut.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, stop := newFleet(t, 3)
				defer stop()
				f.log.add(runner("r", 0))
				rest(t, 5*time.Second)
				lead := f.lead()
				lead.frozen.Store(true)
				rest(t, time.Second)
				f.log.add(inventory.Change{RunnerGone: "r"})
				rest(t, cut-time.Second)
				lead.frozen.Store(false)
				rest(t, inTouch)
				is.New(t).Equal(f.knowing("r"), 0)
			})
		})
	}
}

func TestWordOfOthersOnLapses(t *testing.T) {
	type word struct {
		// confirmed and steady count back from the return of the store.
		confirmed, steady time.Duration
		revision          int64
		runners           []string
		lapsed            string
	}
	for name, c := range map[string]struct {
		word word
		want []string
	}{
		"heard throughout":             {word{confirmed: 0, steady: time.Hour, revision: 1}, nil},
		"heard throughout, newer":      {word{confirmed: 0, steady: time.Hour, revision: 9}, nil},
		"hasn't heard of the return":   {word{confirmed: outage, steady: time.Hour, revision: 1}, []string{"r"}},
		"began after the outage":       {word{revision: 1}, []string{"r"}},
		"began after it, knows more":   {word{revision: 9, runners: []string{"new"}}, []string{"new", "r"}},
		"doubts as well":               {word{revision: 9, runners: []string{"r"}, lapsed: "r"}, []string{"r"}},
		"heard throughout, is back":    {word{steady: time.Hour, revision: 9, runners: []string{"r"}}, []string{"r"}},
		"heard throughout, had doubts": {word{steady: time.Hour, revision: 9, runners: []string{"r"}, lapsed: "r"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &script{
					lists: []step{{changes: []inventory.Change{runner("r", 1)}, revision: 1}},
					steps: []step{
						{after: 1500 * time.Millisecond, err: errAway},
						{after: 1500 * time.Millisecond, err: errAway},
						{changes: []inventory.Change{gone("r", 2)}, revision: 2},
					},
				}
				current := inventory.NewCurrent(clock.System())
				f := inventory.NewFollower(clock.System(), s, current, hclog.NewNullLogger())
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- f.Run(ctx) }()
				for len(current.Load().Lapsed) == 0 {
					rest(t, 10*time.Millisecond)
				}
				told := &inventory.Snapshot{Revision: c.word.revision, Runners: map[string]*inventory.Runner{}, Lapsed: map[string]int64{}}
				for _, id := range c.word.runners {
					told.Runners[id] = runner(id, 3).Runner
				}
				if c.word.lapsed != "" {
					told.Lapsed[c.word.lapsed] = 4
				}
				now := clock.System().Now()
				f.Adopt("other", told, inventory.Standing{Confirmed: now.Add(-c.word.confirmed), Steady: now.Add(-c.word.steady)})
				is.Equal(slices.Sorted(maps.Keys(current.Load().Runners)), c.want)
				cancel()
				is.NoErr(<-done)
			})
		})
	}
}
