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
	// slowStore is what each call of a slow store takes: several of the timeouts
	// of short calls.
	slowStore = 700 * time.Millisecond
	// lostWrites and droppedCalls are how many calls one fault concerns.
	lostWrites, droppedCalls = 5, 4
	// slowRunner is how many times as long as usual a slow runner works.
	slowRunner = 6
	// fewestRouters stay in service: callers need one to ask.
	fewestRouters = 2
)

// play begins each fault of a plan at its time and ends it, and returns when the
// last one has ended.
func (r *run) play(ctx context.Context, plan []Fault) error {
	start := r.cfg.Clock.Now()
	group, ctx := errgroup.WithContext(ctx)
	for _, f := range plan {
		group.Go(func() error {
			if err := r.cfg.Clock.Sleep(ctx, f.At-r.cfg.Clock.Now().Sub(start)); err != nil {
				return err
			}
			return eris.Wrapf(r.inflict(ctx, f), "%s", f)
		})
	}
	return group.Wait()
}

// inflict begins a fault and ends it.
func (r *run) inflict(ctx context.Context, f Fault) error {
	switch f.Kind {
	case KillRouter, PauseRouter, StopRouter:
		return r.befallRouter(ctx, f)
	case StoreDown:
		return r.store(ctx, f, func(x *endpoint.Faults) { x.Down = true })
	case StoreSlow:
		return r.store(ctx, f, func(x *endpoint.Faults) { x.SlowMillis = slowStore.Milliseconds() })
	case StoreLoses:
		return r.store(ctx, f, func(x *endpoint.Faults) { x.LoseWrites = lostWrites })
	case StoreSilent:
		return r.store(ctx, f, func(x *endpoint.Faults) { x.Silence = true })
	case ZoneOut:
		zone := r.zones[f.Target%len(r.zones)]
		return r.order(ctx, f, out{zone: zone}, []string{"zone", "out", zone, "--reason", "soak"}, []string{"zone", "in", zone})
	case Drain:
		id := r.runnerID(f)
		return r.order(ctx, f, out{runner: id}, []string{"runner", "drain", id}, []string{"runner", "undrain", id})
	case Roll:
		return r.roll(ctx)
	}
	return r.befallRunner(ctx, f)
}

// befallRouter ends or pauses a router, unless too few would be left.
func (r *run) befallRouter(ctx context.Context, f Fault) error {
	p := r.takeRouter(f.Target)
	if p == nil {
		return nil
	}
	defer r.giveBack(p)
	switch f.Kind {
	case PauseRouter:
		from := r.cfg.Clock.Now()
		p.Signal(syscall.SIGSTOP)
		err := r.cfg.Clock.Sleep(ctx, f.For)
		p.Signal(syscall.SIGCONT)
		r.note(func() { r.pauses = append(r.pauses, pause{router: p.Ready.Ready, from: from, to: r.cfg.Clock.Now()}) })
		return err
	case KillRouter:
		p.Kill()
	default:
		if err := p.Stop(); err != nil {
			return err
		}
	}
	_, err := r.scene.StartRouter(ctx)
	return err
}

// store puts a fault of the store in force, beside the others.
func (r *run) store(ctx context.Context, f Fault, begin func(*endpoint.Faults)) error {
	return r.fault(ctx, r.scene.Platform, f, begin)
}

// fault puts a fault in force at a stand-in. When it ends, the stand-in has none.
func (r *run) fault(ctx context.Context, p *scene.Process, f Fault, begin func(*endpoint.Faults)) error {
	var x endpoint.Faults
	begin(&x)
	// Another fault may silence the connection of the order for this one.
	set := func(x endpoint.Faults) error {
		return r.insist(ctx, f.String(), func() error { return p.Fault(ctx, x) })
	}
	if err := set(x); err != nil {
		return err
	}
	if err := r.cfg.Clock.Sleep(ctx, f.For); err != nil {
		return err
	}
	return set(endpoint.Faults{})
}

// runnerID returns the runner that a fault befalls.
func (r *run) runnerID(f Fault) string {
	ids := slices.Sorted(maps.Keys(r.scene.Runners))
	return ids[f.Target%len(ids)]
}

func (r *run) befallRunner(ctx context.Context, f Fault) error {
	begin := map[Kind]func(*endpoint.Faults){
		RunnerDropsBefore: func(x *endpoint.Faults) { x.DropBefore = droppedCalls },
		RunnerDropsAfter:  func(x *endpoint.Faults) { x.DropAfter = droppedCalls },
		RunnerRefuses:     func(x *endpoint.Faults) { x.Refuse = true },
		RunnerSlow:        func(x *endpoint.Faults) { x.SlowFactor = slowRunner },
		RunnerCold:        func(x *endpoint.Faults) { x.TurnCold = true },
		RunnerSilent:      func(x *endpoint.Faults) { x.Silence = true },
	}[f.Kind]
	if begin == nil {
		return eris.Errorf("unknown kind of fault %q", f.Kind)
	}
	return r.fault(ctx, r.scene.Runners[r.runnerID(f)], f, begin)
}

// order gives an order to operators' interfaces, and takes it back. Orders may
// fail while faults last; one that can't be taken back is tried again.
func (r *run) order(ctx context.Context, f Fault, o out, begin, end []string) error {
	if !r.takeOut(o) {
		return nil
	}
	defer r.takenBack(o)
	err := r.ctl(ctx, begin)
	if err != nil {
		r.say("not ordered: %v: %v", begin, err)
	}
	o.from = r.cfg.Clock.Now()
	if err := r.cfg.Clock.Sleep(ctx, f.For); err != nil {
		return err
	}
	o.to = r.cfg.Clock.Now()
	if err == nil {
		r.note(func() { r.outs = append(r.outs, o) })
	}
	return r.insist(ctx, fmt.Sprint(end), func() error { return r.ctl(ctx, end) })
}

// takeOut reports whether nothing has taken the same zone or runner out already:
// the end of one order would end the other too.
func (r *run) takeOut(o out) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone[o] {
		return false
	}
	r.gone[o] = true
	return true
}

func (r *run) takenBack(o out) {
	o.from, o.to = time.Time{}, time.Time{}
	r.note(func() { delete(r.gone, o) })
}

// note changes what the soak is judged by.
func (r *run) note(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *run) ctl(ctx context.Context, args []string) error {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	_, err := r.scene.Ctl(ctx, args...)
	return err
}

// roll brings a new version in force, one at a time.
func (r *run) roll(ctx context.Context) error {
	r.rolling.Lock()
	defer r.rolling.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	if err := r.scene.Roll(ctx); err != nil {
		r.say("not rolled: %v", err)
	}
	return nil
}
