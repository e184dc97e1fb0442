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

// Config holds the settings of a soak.
type Config struct {
	// Bin is the folder with the programs router, ctl and standin.
	Bin string
	// Seed determines the faults and the traffic. Size is the fleet size for scene.PlanOf.
	Seed uint64
	Size string
	// Routers overrides the number of routers in the plan of the fleet unless it is 0.
	Routers int
	// Faults is the period within which faults begin.
	Faults time.Duration
	Out    io.Writer
	Clock  clock.Clock
}

const (
	// recoveryTime is how long the fleet may take to recover after the last fault. It is
	// longer than leases, backoffs and cold starts.
	recoveryTime = 12 * time.Second
	// recoveryTrafficTime is how long traffic is sent after recoveryTime to check this.
	recoveryTrafficTime = 5 * time.Second
	// retryTimeout bounds the retries of a request that ends a fault, or of one that sets
	// a fault at a stand-in. retryInterval is the delay between attempts.
	retryTimeout, retryInterval = 30 * time.Second, 500 * time.Millisecond
	// orderTimeout bounds one order of an operator.
	orderTimeout = 15 * time.Second
)

// soakRun is the state of one soak.
type soakRun struct {
	cfg   Config
	fleet *scene.Fleet
	zones []string

	// rolling is held while a bundle is rolled out.
	rolling sync.Mutex
	// mu guards the fields below.
	mu sync.Mutex
	// reserved holds the routers that a fault is applied to.
	reserved map[*scene.Process]bool
	// activeTakeouts holds the current takeouts. The times of its keys are zero.
	activeTakeouts map[takeout]bool
	// takeouts and pauses are the takeouts and pauses that have ended.
	takeouts []takeout
	pauses   []pause
}

// Run runs a soak with the faults of cfg.Seed. It returns an error for each violated
// guarantee. After an error it leaves the logs in place.
func Run(ctx context.Context, cfg Config) error {
	return Play(ctx, cfg, NewPlan(cfg.Seed, cfg.Faults))
}

// RunAll runs soaks with the given number of consecutive seeds, one after another, and
// returns the errors of all.
func RunAll(ctx context.Context, cfg Config, seeds int) error {
	var errs []error
	for range seeds {
		if err := Run(ctx, cfg); err != nil {
			errs = append(errs, eris.Wrapf(err, "seed %d", cfg.Seed))
		}
		cfg.Seed++
	}
	return errors.Join(errs...)
}

// Play starts a fleet, injects the faults of a plan into it and checks the results.
func Play(ctx context.Context, cfg Config, plan []Fault) error {
	fleetPlan, err := scene.PlanOf(cfg.Size)
	if err != nil {
		return err
	}
	if cfg.Routers > 0 {
		fleetPlan.Routers = cfg.Routers
	}
	s, err := scene.Start(ctx, cfg.Bin, fleetPlan)
	r := &soakRun{cfg: cfg, fleet: s, reserved: make(map[*scene.Process]bool), activeTakeouts: make(map[takeout]bool)}
	if err == nil {
		err = r.soak(ctx, plan)
	}
	s.KeepLogs = err != nil
	if err != nil {
		r.printf("seed %d, faults for %v, size %s, logs in %s", cfg.Seed, cfg.Faults, cfg.Size, s.Dir())
		for _, f := range plan {
			r.printf("%s", f)
		}
	}
	return errors.Join(err, s.Close())
}

func (r *soakRun) printf(format string, args ...any) { fmt.Fprintf(r.cfg.Out, format+"\n", args...) }

// soak sends traffic during the plan and again after it, and checks the results.
func (r *soakRun) soak(ctx context.Context, plan []Fault) error {
	r.zones = zoneIDs(r.fleet.Bundle)
	var during *load.Result
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.injectAll(groupCtx, plan) })
	group.Go(func() error {
		during = r.traffic(groupCtx, r.cfg.Faults+maxFaultTime)
		return nil
	})
	if err := group.Wait(); err != nil {
		return err
	}
	if err := r.cfg.Clock.Sleep(ctx, recoveryTime); err != nil {
		return err
	}
	after := r.traffic(ctx, recoveryTrafficTime)
	stopErr := r.stopRouters()
	recs, err := r.fleet.Records(ctx)
	if err != nil {
		return err
	}
	v, violations := observations{records: recs, during: during, after: after, takeouts: r.takeouts, pauses: r.pauses}.violations()
	r.printf("seed %d: %d bookings, %d ran, %d not run, %d unknown; %d promises broken", r.cfg.Seed, v.Calls, v.Ran, v.NotRun, v.Unknown, len(violations))
	return errors.Join(append(violations, stopErr)...)
}

// traffic sends calls of all classes for a duration.
func (r *soakRun) traffic(ctx context.Context, d time.Duration) *load.Result {
	class := func(name, pipeline, team string, rate float64, stream bool) load.Class {
		c := load.Class{
			Name: name, Pipeline: r.fleet.Pipeline(pipeline), Teams: []string{team}, Rate: rate, DeadlineMillis: 8000,
			Stream: stream, RetryRefused: true,
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
		Duration: d, Seed: r.cfg.Seed, Routers: r.fleet.Callers, Key: scene.TeamKey, Clock: r.cfg.Clock,
	})
}

// stopRouters asks all live routers to shut down and waits for them.
func (r *soakRun) stopRouters() error {
	var group errgroup.Group
	for _, p := range r.fleet.Live() {
		group.Go(p.Stop)
	}
	return group.Wait()
}

// reserveRouter returns a router for a fault and keeps other faults off it until
// releaseRouter. It returns nil if too few routers would stay in service.
func (r *soakRun) reserveRouter(target int) *scene.Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	available := slices.DeleteFunc(r.fleet.Live(), func(p *scene.Process) bool { return r.reserved[p] })
	if len(available) <= minRouters {
		return nil
	}
	p := available[target%len(available)]
	r.reserved[p] = true
	return p
}

func (r *soakRun) releaseRouter(p *scene.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reserved, p)
}

// retry calls try until it succeeds or retryTimeout has passed.
func (r *soakRun) retry(ctx context.Context, what string, try func() error) error {
	limit := r.cfg.Clock.Now().Add(retryTimeout)
	for {
		err := try()
		if err == nil {
			return nil
		}
		if r.cfg.Clock.Now().After(limit) {
			return eris.Wrapf(err, "%s not done within %v", what, retryTimeout)
		}
		if err := r.cfg.Clock.Sleep(ctx, retryInterval); err != nil {
			return err
		}
	}
}
