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

// limits returns the limits of the tests, which are short so that leases often
// expire.
func limits() order.Limits {
	return order.Limits{LeaseTTL: 6 * time.Second, Delivery: time.Second, DriftPerMille: 100}
}

// world simulates a store, some engines, and the faults between them and the
// instances. It checks each order when it takes effect.
type world struct {
	mu         sync.Mutex
	seed       uint64
	faulty     bool
	group      sync.WaitGroup
	revision   uint64
	lease      uint64
	leaseEnds  map[uint64]time.Time
	keys       map[string]platformapi.Entry
	engines    map[string]*engine
	bundle     []bundle.Runner
	violations []string
	// effects counts the orders that took effect, and lastWrite is when the
	// latest was written.
	effects   int
	lastWrite time.Time
	// renewed is when the store last renewed a lease.
	renewed time.Time
	faults
}

// faults are the faults that a test sets explicitly.
type faults struct {
	// storeDown fails all calls to the store.
	storeDown bool
	// renewalDelay delays the answers to renewals.
	renewalDelay time.Duration
	// stateDelay delays the answers with the state of runners.
	stateDelay time.Duration
	// loadsFail makes orders take effect without a change of loaded models.
	loadsFail bool
}

// engine is one runner. It checks and applies orders when they take effect.
type engine struct {
	checks bool
	source faultSource
	state  runnerapi.State
	// written is the highest fencing token of an order written to it.
	written uint64
	// changed is when an order last took effect.
	changed time.Time
	// orders counts the orders written to it; latest is the number of the
	// last one that took effect.
	orders, latest int
	fencingTokens  map[uint64]bool
}

func newWorld(seed uint64, faulty bool, runners ...bundle.Runner) *world {
	w := &world{
		seed: seed, faulty: faulty, bundle: runners,
		leaseEnds: map[uint64]time.Time{}, keys: map[string]platformapi.Entry{}, engines: map[string]*engine{},
	}
	for _, r := range runners {
		w.engines[r.ID] = &engine{checks: r.ChecksFencing, source: w.newFaultSource(r.ID), fencingTokens: map[uint64]bool{}}
	}
	return w
}

// faultSource draws the random faults of one actor. Each actor has its own, so
// that a seed reproduces a run regardless of how goroutines that run at the same
// time are scheduled.
type faultSource struct {
	rng    *rand.Rand
	faulty bool
}

func (w *world) newFaultSource(actor string) faultSource {
	return faultSource{rand.New(rand.NewPCG(w.seed, xxhash.Sum64String(actor))), w.faulty}
}

// upTo returns a random duration of at most d.
func (c faultSource) upTo(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// mostlyFull returns d in two of three cases, and otherwise a random part of it.
func (c faultSource) mostlyFull(d time.Duration) time.Duration {
	if c.rng.IntN(3) == 0 {
		return c.upTo(d)
	}
	return d
}

// happens reports whether a fault with the probability 1/n happens.
func (c faultSource) happens(n int) bool { return c.faulty && c.rng.IntN(n) == 0 }

// locked calls f while holding the lock of the world.
func (w *world) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) currentFaults() (f faults) {
	w.locked(func() { f = w.faults })
	return f
}

func (w *world) keyCount() (n int) {
	w.locked(func() { n = len(w.keys) })
	return n
}

func (w *world) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// driftingClock is an instance's clock. It runs faster or slower than the
// store's, and the instance may be paused after it has read the time.
type driftingClock struct {
	source faultSource
	start  time.Time
	// perMille is how much faster the clock runs.
	perMille int64
	// guarded is true while the last check before a write reads the time.
	guarded *bool
}

func (c driftingClock) Now() time.Time {
	elapsed := clock.System().Now().Sub(c.start)
	now := c.start.Add(elapsed + elapsed*time.Duration(c.perMille)/1000)
	switch {
	case *c.guarded && c.source.happens(2):
		sleep(c.source.mostlyFull(limits().Delivery)) // covered by the lock delay of a new holder
	case !*c.guarded && c.source.happens(20):
		sleep(c.source.upTo(8 * time.Second))
	}
	return now
}

func (c driftingClock) After(d time.Duration) <-chan time.Time { return clock.System().After(d) }

func (c driftingClock) Sleep(ctx context.Context, d time.Duration) error {
	return clock.System().Sleep(ctx, d)
}

func sleep(d time.Duration) { <-clock.System().After(d) }

// storeClient is one instance's connection to the store.
type storeClient struct {
	w      *world
	source faultSource
	// outUntil is the end of an outage.
	outUntil *time.Time
}

// call runs effect at the store unless a fault prevents the call, and may lose
// the answer.
func (s storeClient) call(ctx context.Context, write bool, effect func() error) error {
	w := s.w
	lost := fault.New(fault.StoreUnavailable, "no answer").WithOutcome(fault.NotRun)
	if write {
		lost = lost.WithOutcome(fault.Unknown)
	}
	sleep(s.source.upTo(50 * time.Millisecond))
	if s.source.happens(12) {
		*s.outUntil = clock.System().Now().Add(s.source.upTo(12 * time.Second))
	}
	if ctx.Err() != nil || w.currentFaults().storeDown || clock.System().Now().Before(*s.outUntil) {
		return fault.New(fault.StoreUnavailable, "refused").WithOutcome(fault.NotRun)
	}
	if write && s.source.happens(15) { // takes effect long after the caller has given up
		late := s.source.upTo(8 * time.Second)
		w.group.Go(func() {
			sleep(late)
			_ = s.run(effect)
		})
		sleep(s.source.upTo(time.Second))
		return lost
	}
	err := s.run(effect)
	sleep(s.source.upTo(50 * time.Millisecond))
	if s.source.happens(4) {
		sleep(s.source.upTo(2 * time.Second))
	}
	if s.source.happens(15) {
		return lost
	}
	return err
}

func (s storeClient) run(effect func() error) error {
	w := s.w
	w.mu.Lock()
	defer w.mu.Unlock()
	for lease, end := range w.leaseEnds {
		if !clock.System().Now().Before(end) {
			delete(w.leaseEnds, lease)
			w.dropKeys(lease)
		}
	}
	return effect()
}

func (w *world) dropKeys(lease uint64) {
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
		if _, ok := s.w.leaseEnds[put.Lease]; !ok {
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
		s.w.leaseEnds[lease] = clock.System().Now().Add(ttl)
		return nil
	})
	if err != nil {
		return 0, err // the effect may come later
	}
	return lease, nil
}

func (s storeClient) KeepAlive(ctx context.Context, lease uint64) error {
	err := s.call(ctx, true, func() error {
		if _, ok := s.w.leaseEnds[lease]; !ok {
			return fault.New(fault.NotFound, "keep alive")
		}
		s.w.renewed = clock.System().Now()
		s.w.leaseEnds[lease] = s.w.renewed.Add(limits().LeaseTTL)
		return nil
	})
	if err == nil {
		sleep(s.w.currentFaults().renewalDelay)
	}
	return err
}

func (s storeClient) Revoke(ctx context.Context, lease uint64) error {
	return s.call(ctx, true, func() error {
		delete(s.w.leaseEnds, lease)
		s.w.dropKeys(lease)
		return nil
	})
}

// engineClient is one instance's connection to the engines.
type engineClient struct {
	w       *world
	guarded *bool
	// faultSources holds the sources by runner.
	faultSources map[string]faultSource
	// lastRead is when the state of a runner was last read.
	lastRead map[string]time.Time
	mu       *sync.Mutex
}

func (c engineClient) State(ctx context.Context, of bundle.Runner) (runnerapi.State, error) {
	x := c.faultSources[of.ID]
	sleep(x.upTo(100 * time.Millisecond))
	if ctx.Err() != nil || x.happens(20) {
		return runnerapi.State{}, fault.New(fault.RunnerFailed, "no state")
	}
	c.w.mu.Lock()
	state := c.w.engines[of.ID].state
	c.w.mu.Unlock()
	c.mu.Lock()
	c.lastRead[of.ID] = clock.System().Now()
	c.mu.Unlock()
	sleep(c.w.currentFaults().stateDelay)
	return state, nil
}

func (c engineClient) SendOrder(ctx context.Context, to bundle.Runner, o runnerapi.Order, guard func() error) (runnerapi.State, error) {
	w, x := c.w, c.faultSources[to.ID]
	e := w.engines[to.ID]
	sleep(x.upTo(100 * time.Millisecond))
	*c.guarded = true
	err := guard()
	*c.guarded = false
	if err != nil {
		return runnerapi.State{}, err
	}
	c.mu.Lock()
	n := w.write(to.ID, o, c.lastRead[to.ID])
	c.mu.Unlock()
	delay := x.mostlyFull(limits().Delivery)
	if !w.faulty {
		delay = 10 * time.Millisecond
	}
	if e.checks && x.happens(3) {
		delay = x.upTo(20 * time.Second)
	}
	answered := !x.happens(4)
	done := make(chan error, 1)
	w.group.Go(func() {
		sleep(delay)
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

// write records an order when its instance sends it and returns its number. The
// instance read the runner's state at the time read.
func (w *world) write(runner string, o runnerapi.Order, read time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[runner]
	if !e.checks && o.FencingToken > e.written && read.Before(e.changed) {
		w.addViolation("holder %d ordered %s by a state older than its predecessor's last order", o.FencingToken, runner)
	}
	e.written = max(e.written, o.FencingToken)
	e.orders++
	w.lastWrite = clock.System().Now()
	return e.orders
}

// takeEffect applies the nth order at its runner.
func (w *world) takeEffect(runner string, o runnerapi.Order, n int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.engines[runner]
	if e.checks && o.FencingToken < e.state.FencingToken {
		return fault.New(fault.Conflict, "old fencing number")
	}
	if !e.checks && o.FencingToken < e.written {
		w.addViolation("order %d took effect at %s after holder %d had ordered", o.FencingToken, runner, e.written)
	}
	if o.FencingToken < e.state.FencingToken {
		w.addViolation("order %d took effect at %s after one of holder %d", o.FencingToken, runner, e.state.FencingToken)
	}
	if n < e.latest {
		w.addViolation("order %d of %s took effect after order %d", n, runner, e.latest)
	}
	e.latest = n
	e.state.FencingToken = o.FencingToken
	if !w.loadsFail && (!w.faulty || e.source.happens(4)) { // otherwise the load fails, and the holder tries again
		e.state.Models = o.Models
	}
	e.changed = clock.System().Now()
	e.fencingTokens[o.FencingToken] = true
	w.effects++
	return nil
}

// changeModels changes the wanted models of each runner at random.
func (w *world) changeModels(x faultSource, models []string) {
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

// fleet returns the snapshot of the instance self. In each snapshot that instance
// is the only member, so that all instances contend for the same runners.
func (w *world) fleet(self string) order.Fleet {
	w.mu.Lock()
	defer w.mu.Unlock()
	return order.Fleet{Runners: w.bundle, Instances: []string{self}, Self: self}
}

// report returns the violations, one a line.
func (w *world) report() string { return strings.Join(w.violations, "\n") }
