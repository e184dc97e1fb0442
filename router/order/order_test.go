package order_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/order"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// start runs an instance's driver in the world until ctx ends.
func (w *world) start(ctx context.Context, self string, perMille int64) order.Driver {
	guarded := new(bool)
	clk := driftingClock{chance: w.chance(self + " clock"), start: clock.System().Now(), perMille: perMille, guarded: guarded}
	engines := engineClient{w: w, guarded: guarded, reads: map[string]time.Time{}, mu: new(sync.Mutex), chances: map[string]chance{}}
	for id := range w.engines {
		engines.chances[id] = w.chance(self + " at " + id)
	}
	log := journal.New(hclog.NewNullLogger(), clock.System(), journal.WithKept(64))
	d := order.New(storeClient{w: w, chance: w.chance(self + " store"), outUntil: new(time.Time)}, engines, func() order.Fleet { return w.fleet(self) }, log, clk,
		order.WithLimits(limits()), order.WithPeriod(200*time.Millisecond),
		order.WithSettle(0), order.WithLoadInterval(0))
	w.group.Go(func() { _ = d.Run(ctx) })
	return d
}

// Two to five instances order the same runners, of which some ignore fencing
// numbers, while instances pause, clocks drift, leases lapse, answers of the
// store are lost, its writes take effect late, and orders are delayed.
func TestOrdersOfOldHoldersProperty(t *testing.T) {
	effects, changes := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		instances := rapid.IntRange(2, 5).Draw(rt, "instances")
		drift := rapid.SliceOfN(rapid.Int64Range(-47, 47), instances, instances).Draw(rt, "drift per mille")
		var report string
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(seed, true,
				bundle.Runner{ID: "checks", Service: "generate", Models: []string{"a"}, ChecksFencing: true},
				bundle.Runner{ID: "ignores", Service: "generate", Models: []string{"a"}},
				bundle.Runner{ID: "other", Service: "draft", Models: []string{"a"}},
			)
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Minute)
			for i := range instances {
				w.start(ctx, fmt.Sprintf("router-%d", i), drift[i])
			}
			churn := w.chance("bundle")
			for ctx.Err() == nil {
				pause(churn.upTo(10 * time.Second))
				w.want(churn, []string{"a", "b", "c"})
			}
			cancel()
			w.group.Wait()
			effects += w.effects
			for _, e := range w.engines {
				changes += len(e.numbers)
			}
			report = w.report()
		})
		if report != "" {
			rt.Fatal(report)
		}
	})
	t.Logf("%d orders took effect, of %d holders", effects, changes)
	is.New(t).True(changes > 100) // the faults left something to check
}
