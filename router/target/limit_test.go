package target_test

import (
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/random"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/target"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// limitedFleet is several instances, each with its own view of one runner.
type limitedFleet struct {
	clk      *clock.Manual
	sets     []target.Set
	snapshot inventory.Snapshot
	runner   *inventory.Runner
	// count is the number of instances as they know it; 0 if they don't.
	count int
}

func newLimitedFleet(t testing.TB, n int, seed uint64) *limitedFleet {
	t.Helper()
	f := &limitedFleet{clk: clock.NewManual(origin), count: n}
	table, err := routing.NewTable(routing.Config{Version: 1, Services: []routing.Service{{Name: "s"}}})
	is.New(t).NoErr(err)
	f.runner = &inventory.Runner{ID: "r", Born: 1, Service: "s", Zone: "z", Address: "a", Revision: era.New(0, 1)}
	f.snapshot = inventory.Snapshot{Table: table, Revision: era.New(0, 1), Runners: map[string]*inventory.Runner{"r": f.runner}}
	for i := range n {
		set := target.NewSet(f.clk, twoPerSecond, describeLag, target.WithRandom(random.NewSeeded(seed+uint64(i))),
			target.WithInstances(func() (int, bool) { return f.count, f.count > 0 }))
		set.Update(&f.snapshot)
		f.sets = append(f.sets, set)
	}
	return f
}

// admitAll has each instance try to call the runner, and returns how many calls were
// admitted.
func (f *limitedFleet) admitAll() int {
	n := 0
	for _, set := range f.sets {
		if set.Admit(set.Find("r")) {
			n++
		}
	}
	return n
}

// TestLimitHoldsOverAllInstancesProperty guards against instances that each keep to a limit,
// but not together: their calls all the while, in every window, stay within what is tolerated.
func TestLimitHoldsOverAllInstancesProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 5, 25, 63, 118, 450}).Draw(rt, "instances")
		perSecond := rapid.SampledFrom([]float64{0.25, 1, 1.5, 4, 10, 40}).Draw(rt, "limit")
		f := newLimitedFleet(t, n, rapid.Uint64().Draw(rt, "seed"))
		for _, set := range f.sets {
			set.Observe(f.runner, target.Notice{Limit: perSecond})
		}
		const window, step = 4 * time.Second, 100 * time.Millisecond
		tolerated := 1.5*perSecond*window.Seconds() + 5
		var admitted []int
		sum := 0
		for range 300 {
			k := f.admitAll()
			admitted = append(admitted, k)
			if sum += k; len(admitted) > int(window/step) {
				sum -= admitted[len(admitted)-1-int(window/step)]
			}
			if float64(sum) > tolerated {
				rt.Fatalf("%d calls in %v from %d instances, %v tolerated", sum, window, n, tolerated)
			}
			f.clk.Advance(step)
		}
		total := 0
		for _, k := range admitted {
			total += k
		}
		// Each instance tries ten times a second.
		if most := min(perSecond, float64(10*n)) * 30; float64(total) < 0.35*most-5 {
			rt.Fatalf("only %d calls in 30 s from %d instances, %v are allowed", total, n, most)
		}
	})
}

func TestLimitEndsAndStays(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 1, 1)
	set := f.sets[0]
	set.Observe(f.runner, target.Notice{Limit: 1})
	f.clk.Advance(time.Second)
	is.Equal(f.admitAll(), 1)
	is.Equal(f.admitAll(), 0)
	is.True(set.PausedFor("s") > 900*time.Millisecond) // refusals say when to come back
	is.True(!set.AcceptsCalls(set.Find("r")))
	// An answer from before the limit, which arrives late.
	set.Observe(f.runner, target.Notice{Limit: 1})
	set.Observe(f.runner, target.Notice{Unlimited: true})
	is.True(set.Limited(f.runner))
	// The description expires in an outage of the store and comes back.
	set.Update(&inventory.Snapshot{Table: f.snapshot.Table, Revision: era.New(0, 2)})
	set.Update(&f.snapshot)
	is.True(set.Limited(f.runner))
	is.Equal(f.admitAll(), 0)
	f.clk.Advance(time.Second)
	set.Observe(f.runner, target.Notice{Unlimited: true})
	is.True(!set.Limited(f.runner))
	for range 10 {
		is.Equal(f.admitAll(), 1)
	}
	// A new incarnation begins without a limit.
	set.Observe(f.runner, target.Notice{Limit: 1})
	reborn := *f.runner
	reborn.Born, reborn.Revision = 2, era.New(0, 3)
	set.Update(&inventory.Snapshot{Table: f.snapshot.Table, Revision: era.New(0, 3), Runners: map[string]*inventory.Runner{"r": &reborn}})
	is.True(!set.Limited(&reborn))
}

func TestNothingIsSentUnderLimitWhileInstancesAreNotCounted(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 1, 1)
	f.sets[0].Observe(f.runner, target.Notice{Limit: 100})
	f.count = 0
	for range 50 {
		f.clk.Advance(100 * time.Millisecond)
		is.Equal(f.admitAll(), 0)
	}
	f.count = 1
	f.clk.Advance(time.Second)
	is.Equal(f.admitAll(), 1)
}

// TestHigherLimitAppliesAtOnce guards against a wait that was planned for a lower one.
func TestHigherLimitAppliesAtOnce(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 1, 1)
	f.sets[0].Observe(f.runner, target.Notice{Limit: 0.01})
	f.sets[0].Observe(f.runner, target.Notice{Limit: 10})
	f.clk.Advance(100 * time.Millisecond)
	is.Equal(f.admitAll(), 1)
}
