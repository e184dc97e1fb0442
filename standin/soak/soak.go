package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/standin/load"
	"cicadawell.dev/standin/scene"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// Config is what a soak needs.
type Config struct {
	// Bin is the folder with the programs router, ctl and standin.
	Bin string
	// Seed decides on the faults and the traffic, Size on the fleet.
	Seed uint64
	Size string
	// Routers replaces the number of routers of the size; 0 keeps it.
	Routers int
	// Faults is for how long faults begin.
	Faults time.Duration
	Out    io.Writer
	Clock  clock.Clock
}

const (
	// settle is how long after the last fault the fleet has to serve as before:
	// longer than leases, backoffs and cold starts.
	settle = 12 * time.Second
	// afterwards is for how long that is tried.
	afterwards = 5 * time.Second
	// insistFor bounds the taking back of an order.
	insistFor, insistEvery = 30 * time.Second, 500 * time.Millisecond
	// orderLimit bounds one order of an operator.
	orderLimit = 15 * time.Second
)

// run is the state of one soak.
type run struct {
	cfg   Config
	scene *scene.Scene
	zones []string

	// rolling is held by the roll in progress.
	rolling sync.Mutex
	mu      sync.Mutex
	// taken has the routers that a fault befalls now.
	taken map[*scene.Process]bool
	// gone has what is taken out now, without times.
	gone map[out]bool
	// outs and pauses are those that have ended.
	outs   []out
	pauses []pause
}

// Run plays the faults of a seed and returns an error for each broken promise.
// The logs stay behind then.
func Run(ctx context.Context, cfg Config) error {
	return Play(ctx, cfg, NewPlan(cfg.Seed, cfg.Faults))
}

// RunAll plays some seeds one after the other and returns the errors of all.
func RunAll(ctx context.Context, cfg Config, seeds int) error {
	var failed []error
	for range seeds {
		if err := Run(ctx, cfg); err != nil {
			failed = append(failed, eris.Wrapf(err, "seed %d", cfg.Seed))
		}
		cfg.Seed++
	}
	return errors.Join(failed...)
}

// Play plays a plan.
func Play(ctx context.Context, cfg Config, plan []Fault) error {
	size, err := scene.PlanOf(cfg.Size)
	if err != nil {
		return err
	}
	if cfg.Routers > 0 {
		size.Routers = cfg.Routers
	}
	s, err := scene.Start(ctx, cfg.Bin, size)
	r := &run{cfg: cfg, scene: s, taken: make(map[*scene.Process]bool), gone: make(map[out]bool)}
	if err == nil {
		err = r.soak(ctx, plan)
	}
	s.KeepLogs = err != nil
	if err != nil {
		r.say("seed %d, faults for %v, size %s, logs in %s", cfg.Seed, cfg.Faults, cfg.Size, s.Dir())
		for _, f := range plan {
			r.say("%s", f)
		}
	}
	return errors.Join(err, s.Close())
}

func (r *run) say(format string, args ...any) { fmt.Fprintf(r.cfg.Out, format+"\n", args...) }

// soak sends traffic while the plan is played, and some afterwards, and judges.
func (r *run) soak(ctx context.Context, plan []Fault) error {
	r.zones = zonesOf(r.scene.Bundle)
	var during *load.Result
	group, playing := errgroup.WithContext(ctx)
	group.Go(func() error { return r.play(playing, plan) })
	group.Go(func() error {
		during = r.traffic(playing, r.cfg.Faults+longest)
		return nil
	})
	if err := group.Wait(); err != nil {
		return err
	}
	if err := r.cfg.Clock.Sleep(ctx, settle); err != nil {
		return err
	}
	after := r.traffic(ctx, afterwards)
	stopped := r.stopRouters()
	recs, err := r.scene.Records(ctx)
	if err != nil {
		return err
	}
	v, broken := seen{records: recs, during: during, after: after, outs: r.outs, pauses: r.pauses}.broken()
	r.say("seed %d: %d bookings, %d ran, %d not run, %d unknown; %d promises broken", r.cfg.Seed, v.Calls, v.Ran, v.NotRun, v.Unknown, len(broken))
	return errors.Join(append(broken, stopped)...)
}

// traffic sends calls of all kinds for a while.
func (r *run) traffic(ctx context.Context, d time.Duration) *load.Result {
	class := func(name, pipeline, team string, rate float64, stream bool) load.Class {
		c := load.Class{
			Name: name, Pipeline: r.scene.Pipeline(pipeline), Teams: []string{team}, Rate: rate, DeadlineMillis: 8000,
			Stream: stream, Persist: true,
		}
		if pipeline == scene.Answer {
			c.Tokens, c.Prefixes = 8, 4
		}
		return c
	}
	return load.Run(ctx, load.Config{
		Classes: []load.Class{
			class("booking", scene.Book, "paying1", 10, false),
			class("lookup", scene.Lookup, "paying2", 5, false),
			class("answer", scene.Answer, "paying1", 3, false),
			class("stream", scene.Answer, "paying3", 3, true),
			class("free", scene.Answer, "free1", 2, true),
		},
		Duration: d, Seed: r.cfg.Seed, Routers: r.scene.Callers, Key: scene.TeamKey, Clock: r.cfg.Clock,
	})
}

// stopRouters has all routers end by themselves.
func (r *run) stopRouters() error {
	var group errgroup.Group
	for _, p := range r.scene.Live() {
		group.Go(p.Stop)
	}
	return group.Wait()
}

// takeRouter returns a router for a fault, which no other fault befalls
// meanwhile, or nil if too few would be left.
func (r *run) takeRouter(target int) *scene.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	free := slices.DeleteFunc(r.scene.Live(), func(p *scene.Process) bool { return r.taken[p] })
	if len(free) <= fewestRouters {
		return nil
	}
	p := free[target%len(free)]
	r.taken[p] = true
	return p
}

func (r *run) giveBack(p *scene.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.taken, p)
}

// insist tries until it succeeds.
func (r *run) insist(ctx context.Context, what string, try func() error) error {
	limit := r.cfg.Clock.Now().Add(insistFor)
	for {
		err := try()
		if err == nil {
			return nil
		}
		if r.cfg.Clock.Now().After(limit) {
			return eris.Wrapf(err, "%s not done within %v", what, insistFor)
		}
		if err := r.cfg.Clock.Sleep(ctx, insistEvery); err != nil {
			return err
		}
	}
}
