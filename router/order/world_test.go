package order_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/fleet/property"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/order"
	"github.com/cespare/xxhash/v2"
)

func TestMain(m *testing.M) { property.Main(m, 100) }

// limits are those of the tests: short, so that leases often lapse.
func limits() order.Limits {
	return order.Limits{LeaseTTL: 6 * time.Second, Delivery: time.Second, DriftPerMille: 100}
}

// world is a store, some engines, and the faults between them and the
// instances. It checks each order at its effect.
type world struct {
	mu       sync.Mutex
	seed     uint64
	faulty   bool
	group    sync.WaitGroup
	revision uint64
	lease    uint64
	ends     map[uint64]time.Time
	keys     map[string]platformapi.Entry
	engines  map[string]*engine
	bundle   []bundle.Runner
	breaches []string
	// effects counts the orders that took effect, and lastWrite is when the
	// latest was written.
	effects   int
	lastWrite time.Time
	// renewed is when the store last renewed a lease.
	renewed time.Time
	faults
}

// faults are those that a test switches by hand.
type faults struct {
	// storeDown fails all calls to the store.
	storeDown bool
	// renewalDelay holds the answers to renewals back.
	renewalDelay time.Duration
	// stateDelay holds the states of runners back.
	stateDelay time.Duration
	// loadsFail keeps the runners as they are after an order.
	loadsFail bool
}

// engine is one runner. It takes in orders at their effect.
type engine struct {
	checks bool
	chance chance
	state  runnerapi.State
	// written is the highest fencing number of an order written to it.
	written uint64
	// changed is when an order last took effect.
	changed time.Time
	// orders counts those written to it; latest is the last that took
	// effect.
	orders, latest int
	numbers        map[uint64]bool
}

func newWorld(seed uint64, faulty bool, runners ...bundle.Runner) *world {
	w := &world{
		seed: seed, faulty: faulty, bundle: runners,
		ends: map[uint64]time.Time{}, keys: map[string]platformapi.Entry{}, engines: map[string]*engine{},
	}
	for _, r := range runners {
		w.engines[r.ID] = &engine{checks: r.ChecksFencing, chance: w.chance(r.ID), numbers: map[uint64]bool{}}
	}
	return w
}

// chance draws the faults of one actor. Each actor has its own, so that a seed
// gives the same run however the goroutines of one instant are ordered.
type chance struct {
	rng    *rand.Rand
	faulty bool
}

func (w *world) chance(actor string) chance {
	return chance{rand.New(rand.NewPCG(w.seed, xxhash.Sum64String(actor))), w.faulty}
}

// upTo returns a random duration.
func (c chance) upTo(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// longest returns d in two of three cases, and else a random part of it.
func (c chance) longest(d time.Duration) time.Duration {
	if c.rng.IntN(3) == 0 {
		return c.upTo(d)
	}
	return d
}

// happens reports whether a fault with a chance of 1 in n happens.
func (c chance) happens(n int) bool { return c.faulty && c.rng.IntN(n) == 0 }

// with calls f while the world stands still.
func (w *world) with(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) switches() (f faults) {
	w.with(func() { f = w.faults })
	return f
}

func (w *world) held() (n int) {
	w.with(func() { n = len(w.keys) })
	return n
}

func (w *world) breach(format string, args ...any) {
	w.breaches = append(w.breaches, fmt.Sprintf(format, args...))
}

// driftingClock is an instance's clock, which runs faster or slower than the
// store's and whose instance may be paused after it read the time.
type driftingClock struct {
	chance chance
	start  time.Time
	// perMille is how much faster the clock runs.
	perMille int64
	// guarded is set while the last check before a write reads the time.
	guarded *bool
}

func (c driftingClock) Now() time.Time {
	elapsed := clock.System().Now().Sub(c.start)
	now := c.start.Add(elapsed + elapsed*time.Duration(c.perMille)/1000)
	switch {
	case *c.guarded && c.chance.happens(2):
		pause(c.chance.longest(limits().Delivery)) // what the wait of a new holder covers
	case !*c.guarded && c.chance.happens(20):
		pause(c.chance.upTo(8 * time.Second))
	}
	return now
}

func (c driftingClock) After(d time.Duration) <-chan time.Time { return clock.System().After(d) }

func (c driftingClock) Sleep(ctx context.Context, d time.Duration) error {
	return clock.System().Sleep(ctx, d)
}

func pause(d time.Duration) { <-clock.System().After(d) }

// storeClient is one instance's way to the store.
type storeClient struct {
	w      *world
	chance chance
	// outUntil is the end of an outage.
	outUntil *time.Time
}

// call runs effect at the store, unless a fault keeps it from there, and may
// lose the answer.
func (s storeClient) call(ctx context.Context, write bool, effect func() error) error {
	w := s.w
	lost := fault.New(fault.StoreUnavailable, "no answer").WithOutcome(fault.NotRun)
	if write {
		lost = lost.WithOutcome(fault.Unknown)
	}
	pause(s.chance.upTo(50 * time.Millisecond))
	if s.chance.happens(12) {
		*s.outUntil = clock.System().Now().Add(s.chance.upTo(12 * time.Second))
	}
	if ctx.Err() != nil || w.switches().storeDown || clock.System().Now().Before(*s.outUntil) {
		return fault.New(fault.StoreUnavailable, "refused").WithOutcome(fault.NotRun)
	}
	if write && s.chance.happens(15) { // takes effect long after the caller gave up
		late := s.chance.upTo(8 * time.Second)
		w.group.Go(func() {
			pause(late)
			_ = s.run(effect)
		})
		pause(s.chance.upTo(time.Second))
		return lost
	}
	err := s.run(effect)
	pause(s.chance.upTo(50 * time.Millisecond))
	if s.chance.happens(4) {
		pause(s.chance.upTo(2 * time.Second))
	}
	if s.chance.happens(15) {
		return lost
	}
	return err
}

func (s storeClient) run(effect func() error) error {
	w := s.w
	w.mu.Lock()
	defer w.mu.Unlock()
	for lease, end := range w.ends {
		if !clock.System().Now().Before(end) {
			delete(w.ends, lease)
			w.drop(lease)
		}
	}
	return effect()
}

func (w *world) drop(lease uint64) {
	for key, e := range w.keys {
		if e.Lease == lease {
			delete(w.keys, key)
		}
	}
}

func (s storeClient) Get(ctx context.Context, key string) (*platformapi.Entry, uint64, error) {
	var entry *platformapi.Entry
	err := s.call(ctx, false, func() error {
		if e, ok := s.w.keys[key]; ok {
			entry = &e
		}
		return nil
	})
	return entry, 0, err
}

func (s storeClient) Put(ctx context.Context, put platformapi.PutRequest) (uint64, error) {
	var revision uint64
	err := s.call(ctx, true, func() error {
		if _, ok := s.w.keys[put.Key]; ok {
			return fault.New(fault.Conflict, "put")
		}
		if _, ok := s.w.ends[put.Lease]; !ok {
			return fault.New(fault.NotFound, "put")
		}
		s.w.revision++
		revision = s.w.revision
		s.w.keys[put.Key] = platformapi.Entry{Key: put.Key, Value: put.Value, Revision: revision, Lease: put.Lease}
		return nil
	})
	if err != nil {
		return 0, err // the effect may come later
	}
	return revision, nil
}

func (s storeClient) Delete(ctx context.Context, del platformapi.DeleteRequest) (uint64, error) {
	err := s.call(ctx, true, func() error {
		if s.w.keys[del.Key].Revision != *del.IfRevision {
			return fault.New(fault.Conflict, "delete")
		}
		delete(s.w.keys, del.Key)
		return nil
	})
	return 0, err
}

func (s storeClient) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var lease uint64
	err := s.call(ctx, true, func() error {
		s.w.lease++
		lease = s.w.lease
		s.w.ends[lease] = clock.System().Now().Add(ttl)
		return nil
	})
	if err != nil {
		return 0, err // the effect may come later
	}
	return lease, nil
}

func (s storeClient) KeepAlive(ctx context.Context, lease uint64) error {
	err := s.call(ctx, true, func() error {
		if _, ok := s.w.ends[lease]; !ok {
			return fault.New(fault.NotFound, "keep alive")
		}
		s.w.renewed = clock.System().Now()
		s.w.ends[lease] = s.w.renewed.Add(limits().LeaseTTL)
		return nil
	})
	if err == nil {
		pause(s.w.switches().renewalDelay)
	}
	return err
}

func (s storeClient) Revoke(ctx context.Context, lease uint64) error {
	return s.call(ctx, true, func() error {
		delete(s.w.ends, lease)
		s.w.drop(lease)
		return nil
	})
}

// engineClient is one instance's way to the engines.
type engineClient struct {
	w       *world
	guarded *bool
	// chances are by runner.
	chances map[string]chance
	// reads is when the state of a runner was last read.
	reads map[string]time.Time
	mu    *sync.Mutex
}

func (c engineClient) State(ctx context.Context, of bundle.Runner) (runnerapi.State, error) {
	x := c.chances[of.ID]
	pause(x.upTo(100 * time.Millisecond))
	if ctx.Err() != nil || x.happens(20) {
		return runnerapi.State{}, fault.New(fault.RunnerFailed, "no state")
	}
	c.w.mu.Lock()
	state := c.w.engines[of.ID].state
	c.w.mu.Unlock()
	c.mu.Lock()
	c.reads[of.ID] = clock.System().Now()
	c.mu.Unlock()
	pause(c.w.switches().stateDelay)
	return state, nil
}

func (c engineClient) Order(ctx context.Context, to bundle.Runner, o runnerapi.Order, guard func() error) (runnerapi.State, error) {
	w, x := c.w, c.chances[to.ID]
	e := w.engines[to.ID]
	pause(x.upTo(100 * time.Millisecond))
	*c.guarded = true
	err := guard()
	*c.guarded = false
	if err != nil {
		return runnerapi.State{}, err
	}
	c.mu.Lock()
	n := w.write(to.ID, o, c.reads[to.ID])
	c.mu.Unlock()
	delay := x.longest(limits().Delivery)
	if !w.faulty {
		delay = 10 * time.Millisecond
	}
	if e.checks && x.happens(3) {
		delay = x.upTo(20 * time.Second)
	}
	answered := !x.happens(4)
	done := make(chan error, 1)
	w.group.Go(func() {
		pause(delay)
		done <- w.takeEffect(to.ID, o, n)
	})
	select {
	case err := <-done:
		if answered {
			return runnerapi.State{}, err
		}
	case <-ctx.Done():
	}
	return runnerapi.State{}, fault.New(fault.OutcomeUnknown, "no answer")
}

// write notes an order as it leaves its instance, which read the runner's
// state at the given time, and numbers it.
func (w *world) write(runner string, o runnerapi.Order, read time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[runner]
	if !e.checks && o.Fencing > e.written && read.Before(e.changed) {
		w.breach("holder %d ordered %s by a state older than its predecessor's last order", o.Fencing, runner)
	}
	e.written = max(e.written, o.Fencing)
	e.orders++
	w.lastWrite = clock.System().Now()
	return e.orders
}

// takeEffect applies the nth order at its runner.
func (w *world) takeEffect(runner string, o runnerapi.Order, n int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[runner]
	if e.checks && o.Fencing < e.state.Fencing {
		return fault.New(fault.Conflict, "old fencing number")
	}
	if !e.checks && o.Fencing < e.written {
		w.breach("order %d took effect at %s after holder %d had ordered", o.Fencing, runner, e.written)
	}
	if o.Fencing < e.state.Fencing {
		w.breach("order %d took effect at %s after one of holder %d", o.Fencing, runner, e.state.Fencing)
	}
	if n < e.latest {
		w.breach("order %d of %s took effect after order %d", n, runner, e.latest)
	}
	e.latest = n
	e.state.Fencing = o.Fencing
	if !w.loadsFail && (!w.faulty || e.chance.happens(4)) { // else the load fails, and the holder goes on
		e.state.Models = o.Models
	}
	e.changed = clock.System().Now()
	e.numbers[o.Fencing] = true
	w.effects++
	return nil
}

// want gives the runners other models.
func (w *world) want(x chance, models []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := slices.Clone(w.bundle)
	for i := range changed {
		n := 1 + x.rng.IntN(len(models))
		changed[i].Models = nil
		for _, k := range x.rng.Perm(len(models))[:n] {
			changed[i].Models = append(changed[i].Models, models[k])
		}
		slices.Sort(changed[i].Models)
	}
	w.bundle = changed
}

// fleet is what the instance self knows; each believes itself alone, so that
// all contend.
func (w *world) fleet(self string) order.Fleet {
	w.mu.Lock()
	defer w.mu.Unlock()
	return order.Fleet{Runners: w.bundle, Instances: []string{self}, Self: self}
}

// report returns the breaches.
func (w *world) report() string { return strings.Join(w.breaches, "\n") }
