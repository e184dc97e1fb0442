package soak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"cicadawell.dev/standin/endpoint"
	"cicadawell.dev/standin/scene"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	// slowStoreLatency is the duration of each call to a slow store: several times the
	// timeout of short calls.
	slowStoreLatency = 700 * time.Millisecond
	// lostWrites is the number of writes that one StoreLoses fault affects; droppedCalls is
	// the number of calls that one RunnerDropsBefore or RunnerDropsAfter fault affects.
	lostWrites, droppedCalls = 5, 4
	// slowRunnerFactor is the factor by which a slow runner's latency increases.
	slowRunnerFactor = 6
	// minRouters is how many routers remain without a fault, since callers need a router
	// to call.
	minRouters = 2
)

// injectAll begins each fault of a plan at its time and ends it after its duration.
// It returns when the last fault has ended.
func (r *soakRun) injectAll(ctx context.Context, plan []Fault) error {
	start := r.cfg.Clock.Now()
	group, ctx := errgroup.WithContext(ctx)
	for _, f := range plan {
		group.Go(func() error {
			if err := r.cfg.Clock.Sleep(ctx, f.At-r.cfg.Clock.Now().Sub(start)); err != nil {
				return err
			}
			return eris.Wrapf(r.inject(ctx, f), "%s", f)
		})
	}
	return group.Wait()
}

// inject begins a fault and ends it after its duration.
func (r *soakRun) inject(ctx context.Context, f Fault) error {
	switch f.Kind {
	case KillRouter, PauseRouter, StopRouter:
		return r.injectRouterFault(ctx, f)
	case StoreDown:
		return r.injectStoreFault(ctx, f, func(x *endpoint.Faults) { x.Down = true })
	case StoreSlow:
		return r.injectStoreFault(ctx, f, func(x *endpoint.Faults) { x.SlowMillis = slowStoreLatency.Milliseconds() })
	case StoreLoses:
		return r.injectStoreFault(ctx, f, func(x *endpoint.Faults) { x.LoseWrites = lostWrites })
	case StoreSilent:
		return r.injectStoreFault(ctx, f, func(x *endpoint.Faults) { x.Silence = true })
	case ZoneOut:
		zone := r.zones[f.Target%len(r.zones)]
		return r.injectTakeout(ctx, f, takeout{zone: zone}, []string{"zone", "out", zone, "--reason", "soak"}, []string{"zone", "in", zone})
	case Drain:
		id := r.runnerID(f)
		return r.injectTakeout(ctx, f, takeout{runner: id}, []string{"runner", "drain", id}, []string{"runner", "undrain", id})
	case Roll:
		return r.roll(ctx)
	}
	return r.injectRunnerFault(ctx, f)
}

// injectRouterFault ends or pauses a router, unless too few would remain without a fault.
func (r *soakRun) injectRouterFault(ctx context.Context, f Fault) error {
	p := r.reserveRouter(f.Target)
	if p == nil {
		return nil
	}
	defer r.releaseRouter(p)
	switch f.Kind {
	case PauseRouter:
		from := r.cfg.Clock.Now()
		p.Signal(syscall.SIGSTOP)
		err := r.cfg.Clock.Sleep(ctx, f.For)
		p.Signal(syscall.SIGCONT)
		r.update(func() { r.pauses = append(r.pauses, pause{router: p.Ready.Ready, from: from, to: r.cfg.Clock.Now()}) })
		return err
	case KillRouter:
		p.Kill()
	default:
		if err := p.Stop(); err != nil {
			return err
		}
	}
	_, err := r.fleet.StartRouter(ctx)
	return err
}

// injectStoreFault applies a fault to the platform stand-in, which serves the store.
func (r *soakRun) injectStoreFault(ctx context.Context, f Fault, modify func(*endpoint.Faults)) error {
	return r.injectFault(ctx, r.fleet.Platform, f, modify)
}

// injectFault applies a fault to a stand-in for the duration of the fault, and then
// clears all faults of the stand-in.
func (r *soakRun) injectFault(ctx context.Context, p *scene.Process, f Fault, modify func(*endpoint.Faults)) error {
	var x endpoint.Faults
	modify(&x)
	// The request may fail when another fault silences its connection.
	set := func(x endpoint.Faults) error {
		return r.retry(ctx, f.String(), func() error { return p.Fault(ctx, x) })
	}
	if err := set(x); err != nil {
		return err
	}
	if err := r.cfg.Clock.Sleep(ctx, f.For); err != nil {
		return err
	}
	return set(endpoint.Faults{})
}

// runnerID returns the identifier of the runner that a fault targets.
func (r *soakRun) runnerID(f Fault) string {
	ids := slices.Sorted(maps.Keys(r.fleet.Runners))
	return ids[f.Target%len(ids)]
}

func (r *soakRun) injectRunnerFault(ctx context.Context, f Fault) error {
	modify := map[Kind]func(*endpoint.Faults){
		RunnerDropsBefore: func(x *endpoint.Faults) { x.DropBefore = droppedCalls },
		RunnerDropsAfter:  func(x *endpoint.Faults) { x.DropAfter = droppedCalls },
		RunnerRefuses:     func(x *endpoint.Faults) { x.Refuse = true },
		RunnerSlow:        func(x *endpoint.Faults) { x.SlowFactor = slowRunnerFactor },
		RunnerCold:        func(x *endpoint.Faults) { x.StartColdStart = true },
		RunnerSilent:      func(x *endpoint.Faults) { x.Silence = true },
	}[f.Kind]
	if modify == nil {
		return eris.Errorf("unknown kind of fault %q", f.Kind)
	}
	return r.injectFault(ctx, r.fleet.Runners[r.runnerID(f)], f, modify)
}

// injectTakeout orders a zone or runner to be taken out and later put back in service.
// Orders may fail during other faults: if begin fails, that is printed and the takeout
// is not checked; if end fails, it is retried.
func (r *soakRun) injectTakeout(ctx context.Context, f Fault, t takeout, begin, end []string) error {
	if !r.beginTakeout(t) {
		return nil
	}
	defer r.endTakeout(t)
	err := r.ctl(ctx, begin)
	if err != nil {
		r.printf("order failed: %v: %v", begin, err)
	}
	t.from = r.cfg.Clock.Now()
	if err := r.cfg.Clock.Sleep(ctx, f.For); err != nil {
		return err
	}
	t.to = r.cfg.Clock.Now()
	if err == nil {
		r.update(func() { r.takeouts = append(r.takeouts, t) })
	}
	return r.retry(ctx, fmt.Sprint(end), func() error { return r.ctl(ctx, end) })
}

// beginTakeout marks a zone or runner as taken out. It returns false if the zone or
// runner is already taken out, because the end of one takeout would end the other too.
func (r *soakRun) beginTakeout(t takeout) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activeTakeouts[t] {
		return false
	}
	r.activeTakeouts[t] = true
	return true
}

// endTakeout removes the mark that beginTakeout set.
func (r *soakRun) endTakeout(t takeout) {
	t.from, t.to = time.Time{}, time.Time{}
	r.update(func() { delete(r.activeTakeouts, t) })
}

// update runs change while it holds the lock of the run's state.
func (r *soakRun) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *soakRun) ctl(ctx context.Context, args []string) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := r.fleet.Ctl(ctx, args...)
	return err
}

// roll writes and rolls out a new bundle version. Only one rollout runs at a time.
func (r *soakRun) roll(ctx context.Context) error {
	r.rolling.Lock()
	defer r.rolling.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := r.fleet.Roll(ctx); err != nil {
		r.printf("roll failed: %v", err)
	}
	return nil
}
