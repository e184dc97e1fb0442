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
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/order"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// start runs the driver of an instance until ctx ends. Its clock runs faster
// than the store's by perMille.
func (w *world) start(ctx context.Context, self string, perMille int64) order.Driver {
	return w.startAt(ctx, self, perMille, func() order.Fleet { return w.fleet(self) })
}

// startWith runs the driver of an instance with the given fleet and options.
func (w *world) startWith(ctx context.Context, self string, fleet func() order.Fleet, options ...order.Option) order.Driver {
	return w.startAt(ctx, self, 0, fleet, options...)
}

func (w *world) startAt(ctx context.Context, self string, perMille int64, fleet func() order.Fleet, options ...order.Option) order.Driver {
	guarded := new(bool)
	clk := driftingClock{source: w.newFaultSource(self + " clock"), start: clock.System().Now(), perMille: perMille, guarded: guarded}
	engines := engineClient{w: w, guarded: guarded, lastRead: map[string]time.Time{}, mu: new(sync.Mutex), faultSources: map[string]faultSource{}}
	for id := range w.engines {
		engines.faultSources[id] = w.newFaultSource(self + " at " + id)
	}
	log := journal.New(hclog.NewNullLogger(), clock.System(), journal.WithRetained(64))
	store := storeClient{w: w, source: w.newFaultSource(self + " store"), outUntil: new(time.Time)}
	defaults := []order.Option{
		order.WithLimits(limits()), order.WithPeriod(200 * time.Millisecond),
		order.WithSettle(0), order.WithLoadInterval(0),
	}
	d := order.New(store, engines, fleet, log, clk, append(defaults, options...)...)
	w.group.Go(func() { _ = d.Run(ctx) })
	return d
}

// Guards against orders of previous lock holders that take effect after those of
// later ones. Two to five instances order the same runners, some of which ignore
// fencing tokens, while instances pause, clocks drift, leases expire, answers of
// the store are lost, its writes take effect late, and orders are delayed.
func TestOrdersTakeEffectInLockOrderProperty(t *testing.T) {
	effects, holders := 0, 0
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
			bundleChanges := w.newFaultSource("bundle")
			for ctx.Err() == nil {
				sleep(bundleChanges.upTo(10 * time.Second))
				w.changeModels(bundleChanges, []string{"a", "b", "c"})
			}
			cancel()
			w.group.Wait()
			effects += w.effects
			for _, e := range w.engines {
				holders += len(e.fencingTokens)
			}
			report = w.report()
		})
		if report != "" {
			rt.Fatal(report)
		}
	})
	t.Logf("%d orders took effect, of %d holders", effects, holders)
	is.New(t).True(holders > 100) // enough orders took effect despite the faults
}

// Guards against an order that takes effect after its lease has expired at the
// store. The answers to renewals are delayed, and then the store goes down: the
// last order has to be written before the lease, counted from the start of its
// renewal, is too short for the delivery.
func TestLeaseCountsFromTheStartOfItsRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(1, false, bundle.Runner{ID: "r", Service: "generate", Models: []string{"a"}})
		w.loadsFail = true
		w.renewalDelay = 1500 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		w.start(ctx, "router-a", 0)
		sleep(20 * time.Second)
		w.locked(func() { w.storeDown = true })
		sleep(20 * time.Second)
		cancel()
		w.group.Wait()
		l := limits()
		is.True(w.lastWrite.After(w.renewed)) // the remaining lease was used in the outage
		is.True(!w.lastWrite.After(w.renewed.Add(l.LeaseTTL - l.Delivery)))
	})
}

// Guards against an order planned from an outdated state. The last order of the
// previous holder takes effect while the new holder waits for the lock delay.
// The new holder reads the state again, finds the runner as wanted, and releases
// the lock without an order.
func TestNewHolderReadsTheStateAfterTheLockDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(1, false, bundle.Runner{ID: "r", Service: "generate", Models: []string{"a"}})
		w.stateDelay = 890 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		w.start(ctx, "router-a", 0)
		for w.keyCount() == 0 {
			sleep(time.Millisecond)
		}
		sleep(600 * time.Millisecond)
		is.NoErr(w.takeEffect("r", runnerapi.Order{Models: []string{"a"}}, 0))
		sleep(20 * time.Second)
		cancel()
		w.group.Wait()
		is.Equal(w.effects, 1)
		is.Equal(len(w.keys), 0)
	})
}

// The services are divided among the members of the view, and loads are spaced to
// keep to the weight store's rate.
func TestServicesAreDividedAndLoadsSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runners := []bundle.Runner{}
		for i := range 6 {
			runners = append(runners, bundle.Runner{
				ID: fmt.Sprintf("r%d", i), Service: fmt.Sprintf("service-%d", i%2), Models: []string{"a", "b"},
			})
		}
		w := newWorld(1, false, runners...)
		ctx, cancel := context.WithCancel(t.Context())
		drivers := []order.Driver{}
		for _, self := range []string{"router-a", "router-b", "router-c"} {
			drivers = append(drivers, w.startWith(ctx, self, func() order.Fleet {
				return order.Fleet{Runners: runners, Instances: []string{"router-a", "router-b", "router-c"}, Self: self}
			}, order.WithLoadInterval(2*time.Second)))
		}
		sleep(10 * time.Second)
		w.locked(func() { is.True(w.effects <= 4) }) // two loads in 12 s for each instance that owns a service
		sleep(50 * time.Second)
		w.locked(func() { is.Equal(w.effects, 6) }) // each runner got one order
		rows := 0
		for _, d := range drivers {
			for _, s := range d.Status() {
				rows++
				is.Equal(s.Reason, "")
				is.Equal(s.Loaded, []string{"a", "b"})
			}
		}
		is.Equal(rows, 6) // exactly one instance is responsible for each runner
		cancel()
		w.group.Wait()
		is.Equal(len(w.keys), 0)
	})
}
