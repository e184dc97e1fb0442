// Package measure runs the scenarios of load and faults against real processes,
// each policy in the same run, and writes tables and plots.
package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/standin/load"
	"cicadawell.dev/standin/runner"
	"cicadawell.dev/standin/scene"
	"golang.org/x/sync/errgroup"
)

const (
	// tokens is how much each call of the measurements generates.
	tokens = 16
	// prefixes is how many prompt prefixes the calls share.
	prefixes = 24
	// settleTime is how long the same load runs before it counts, so that a
	// fleet that has just started is not what is measured.
	settleTime = 4 * time.Second
	// dipSeconds is the length of the window of the lowest attainment.
	dipSeconds = 3
	// bookRate and lookRate are calls per second to the plain services.
	bookRate, lookRate = 10, 20

	payingClass, freeClass, bookClass, lookClass = "paying", "free", "bookings", "lookups"
)

// Config is what a measurement needs.
type Config struct {
	Scenario, Size string
	// Bin is the folder with the programs, Dir the one for the results.
	Bin, Dir string
	Seed     uint64
	Out      io.Writer
	Clock    clock.Clock
}

// trial is one run of a scenario under one policy.
type trial struct {
	name   string
	result *load.Result
	recs   []runner.Record
	// start is when the load began to count.
	start time.Time
	// moments are when the events happened.
	moments []time.Time
	verdict scene.Verdict
}

// bothSizes is how many of the scenarios All runs at both users' sizes.
const bothSizes = 2

// Run runs a scenario, or all of them, and writes the results.
func Run(ctx context.Context, cfg Config) error {
	if cfg.Scenario != All {
		return runScenario(ctx, cfg)
	}
	for i, sc := range scenarios() {
		sizes := []string{"taxiline", "loimekoda"}
		if i >= bothSizes {
			sizes = sizes[:1]
		}
		for _, cfg.Size = range sizes {
			cfg.Scenario = sc.name
			if err := runScenario(ctx, cfg); err != nil {
				return err
			}
		}
	}
	return nil
}

// runScenario runs a scenario under each of its policies.
func runScenario(ctx context.Context, cfg Config) error {
	sc, err := find(cfg.Scenario)
	if err != nil {
		return err
	}
	plan, err := scene.PlanOf(cfg.Size)
	if err != nil {
		return err
	}
	var trials []trial
	if sc.alone {
		t, err := run(ctx, cfg, plan, sc.withoutFree(), "without free traffic")
		if err != nil {
			return err
		}
		trials = append(trials, t)
	}
	for _, policy := range sc.policies {
		plan.Policy = policy
		t, err := run(ctx, cfg, plan, sc, nameOf(policy))
		if err != nil {
			return err
		}
		trials = append(trials, t)
	}
	return write(cfg, sc, plan, trials)
}

func (s scenario) withoutFree() scenario {
	s.free = 0
	return s
}

func nameOf(policy string) string {
	if policy == own {
		return "cicadawell"
	}
	return policy
}

// run starts a fleet, puts load and events on it and reads the records.
func run(ctx context.Context, cfg Config, plan scene.Plan, sc scenario, name string) (t trial, err error) {
	s, err := scene.Start(ctx, cfg.Bin, plan)
	defer func() { err = errors.Join(err, s.Close()) }()
	if err != nil {
		return t, err
	}
	traffic := load.Config{
		Classes: classes(s, sc), Duration: settleTime, Seed: cfg.Seed,
		Routers: s.Callers, Key: scene.TeamKey, Clock: cfg.Clock,
	}
	load.Run(ctx, traffic)
	traffic.Duration, traffic.Bursts = sc.duration, sc.bursts
	start := cfg.Clock.Now()
	t = trial{name: name, start: start}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for _, e := range sc.events {
			if err := cfg.Clock.Sleep(ctx, e.at-cfg.Clock.Now().Sub(start)); err != nil {
				return err
			}
			t.moments = append(t.moments, cfg.Clock.Now())
			if err := e.do(ctx, s); err != nil {
				return err
			}
		}
		return nil
	})
	group.Go(func() error {
		t.result = load.Run(ctx, traffic)
		return nil
	})
	if err := group.Wait(); err != nil {
		return t, err
	}
	if t.recs, err = s.Records(context.WithoutCancel(ctx)); err != nil {
		return t, err
	}
	t.verdict = scene.Judge(t.recs, t.result.Class(bookClass).Calls)
	_, err = fmt.Fprintf(cfg.Out, "%s, %s, %s: paying %.2f%%\n", sc.name, cfg.Size, name,
		100*t.result.Class(payingClass).Attainment())
	return t, err
}

// classes returns the callers; a class without a rate is left out.
func classes(s *scene.Scene, sc scenario) []load.Class {
	capacity := s.Plan.Capacity(tokens)
	answer := load.Class{Pipeline: s.Pipeline(scene.Answer), DeadlineMillis: 2000, Tokens: tokens, Prefixes: prefixes}
	paying, free := answer, answer
	paying.Name, paying.Teams, paying.Rate = payingClass, teams(s, scene.Paying), sc.paying*capacity
	free.Name, free.Teams, free.Rate = freeClass, teams(s, scene.Free), sc.free*capacity
	all := []load.Class{
		paying,
		{
			Name: bookClass, Teams: teams(s, scene.Paying), Rate: bookRate, Persist: true,
			Pipeline: s.Pipeline(scene.Book), DeadlineMillis: 1000,
		},
		{
			Name: lookClass, Teams: teams(s, scene.Paying), Rate: lookRate, Persist: true,
			Pipeline: s.Pipeline(scene.Lookup), DeadlineMillis: 500,
		},
	}
	if sc.free > 0 {
		all = append(all, free)
	}
	return all
}

func teams(s *scene.Scene, tier string) []string {
	var ids []string
	for _, t := range s.Bundle.Teams {
		if t.Tier == tier {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// worst returns the lowest attainment of a window of dipSeconds whole seconds.
func worst(c *load.ClassResult) float64 {
	low := 1.0
	for i := dipSeconds; i < len(c.Seconds); i++ {
		var window load.Second
		for _, s := range c.Seconds[i-dipSeconds : i] {
			window.Sent += s.Sent
			window.Met += s.Met
		}
		if window.Sent > 0 {
			low = min(low, float64(window.Met)/float64(window.Sent))
		}
	}
	return low
}

// cost is the time that runs held places, by stage, and the part of it that was
// spent on calls that missed their deadline.
type cost struct {
	// stages and lost are by the name of the stage.
	stages, lost  map[string]time.Duration
	total, wasted time.Duration
}

func costOf(t trial) cost {
	met := map[string]bool{}
	for _, c := range t.result.Classes {
		for _, id := range c.Requests {
			met[id] = true
		}
	}
	c := cost{stages: map[string]time.Duration{}, lost: map[string]time.Duration{}}
	for _, rec := range t.recs {
		for _, run := range rec.Runs {
			if run.At.Before(t.start) {
				continue
			}
			busy := time.Duration(run.BusyMicros) * time.Microsecond
			c.stages[run.Stage] += busy
			c.total += busy
			if !met[run.Request] {
				c.lost[run.Stage] += busy
				c.wasted += busy
			}
		}
	}
	return c
}

// share returns the wasted part.
func (c cost) share() float64 {
	if c.total == 0 {
		return 0
	}
	return float64(c.wasted) / float64(c.total)
}

// overCold returns by how much cold runners were fed over what they bear at
// the most, and how many cold starts collapsed.
func overCold(recs []runner.Record) (over, collapses int) {
	for _, rec := range recs {
		over = max(over, rec.MaxColdLoad-rec.ColdSlots)
		collapses += rec.Collapses
	}
	return over, collapses
}

// lastNew returns how long after from the runners of a zone began their last
// run before to.
func lastNew(recs []runner.Record, zone string, from, to time.Time) time.Duration {
	last := from
	for _, rec := range recs {
		for _, run := range rec.Runs {
			if rec.Zone == zone && run.At.After(last) && run.At.Before(to) {
				last = run.At
			}
		}
	}
	return last.Sub(from)
}
