package inventory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/router/inventory"
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
