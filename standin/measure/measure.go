// Package measure runs scenarios of load and faults against real processes, once for
// each routing policy to compare, and writes tables and plots.
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
	// tokens is the number of tokens that each call of the measurements generates.
	tokens = 16
	// prefixes is the number of prompt prefixes that the calls share.
	prefixes = 24
	// warmupTime is how long the load runs before the measurement, so that the start of
	// the fleet is not measured.
	warmupTime = 4 * time.Second
	// windowSeconds is the length of the sliding window for the lowest attainment.
	windowSeconds = 3
	// bookingRate and lookupRate are the calls per second to the pipelines of one stage.
	bookingRate, lookupRate = 10, 20

	payingClass, freeClass, bookingClass, lookupClass = "paying", "free", "bookings", "lookups"
)

// Config holds the settings of a measurement.
type Config struct {
	Scenario, Size string
	// Bin is the folder with the programs, Dir the folder for the results.
	Bin, Dir string
	Seed     uint64
	Out      io.Writer
	Clock    clock.Clock
}

// trial is one run of a scenario under one policy.
type trial struct {
	name    string
	result  *load.Result
	records []runner.Record
	// start is when the measured load began, after the warm-up.
	start time.Time
	// eventTimes are the times at which the scenario's events were applied, in order.
	eventTimes []time.Time
	outcomes   scene.OutcomeCounts
}

// twoSizeScenarios is how many of the first scenarios All runs at the fleet sizes of both
// users, taxiline and loimekoda; it runs the rest at the size taxiline only.
const twoSizeScenarios = 2

// Run runs one scenario, or all of them if cfg.Scenario is All, and writes the results.
func Run(ctx context.Context, cfg Config) error {
	if cfg.Scenario != All {
		return runScenario(ctx, cfg)
	}
	for i, sc := range scenarios() {
		sizes := []string{"taxiline", "loimekoda"}
		if i >= twoSizeScenarios {
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
	sc, err := findScenario(cfg.Scenario)
	if err != nil {
		return err
	}
	plan, err := scene.PlanOf(cfg.Size)
	if err != nil {
		return err
	}
	var trials []trial
	if sc.alsoWithoutFree {
		t, err := runTrial(ctx, cfg, plan, sc.withoutFree(), "without free traffic")
		if err != nil {
			return err
		}
		trials = append(trials, t)
	}
	for _, policy := range sc.policies {
		plan.Policy = policy
		t, err := runTrial(ctx, cfg, plan, sc, policyName(policy))
		if err != nil {
			return err
		}
		trials = append(trials, t)
	}
	return writeResults(cfg, sc, plan, trials)
}

func (s scenario) withoutFree() scenario {
	s.free = 0
	return s
}

func policyName(policy string) string {
	if policy == defaultPolicy {
		return "cicadawell"
	}
	return policy
}

// runTrial starts a fleet, applies load and events to it and reads the records.
func runTrial(ctx context.Context, cfg Config, plan scene.Plan, sc scenario, name string) (t trial, err error) {
	s, err := scene.Start(ctx, cfg.Bin, plan)
	defer func() { err = errors.Join(err, s.Close()) }()
	if err != nil {
		return t, err
	}
	traffic := load.Config{
		Classes: classes(s, sc), Duration: warmupTime, Seed: cfg.Seed,
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
			t.eventTimes = append(t.eventTimes, cfg.Clock.Now())
			if err := e.apply(ctx, s); err != nil {
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
	if t.records, err = s.Records(context.WithoutCancel(ctx)); err != nil {
		return t, err
	}
	t.outcomes = scene.CompareOutcomes(t.records, t.result.Class(bookingClass).CallOutcomes)
	_, err = fmt.Fprintf(cfg.Out, "%s, %s, %s: paying %.2f%%\n", sc.name, cfg.Size, name,
		100*t.result.Class(payingClass).Attainment())
	return t, err
}

// classes returns the classes of calls. Free calls are left out if their rate is
// zero.
func classes(s *scene.Fleet, sc scenario) []load.Class {
	capacity := s.Plan.Capacity(tokens)
	answer := load.Class{Pipeline: s.Pipeline(scene.Answer), DeadlineMillis: 2000, Tokens: tokens, Prefixes: prefixes}
	paying, free := answer, answer
	paying.Name, paying.Teams, paying.Rate = payingClass, teamIDs(s, scene.Paying), sc.paying*capacity
	free.Name, free.Teams, free.Rate = freeClass, teamIDs(s, scene.Free), sc.free*capacity
	mix := []load.Class{
		paying,
		{
			Name: bookingClass, Teams: teamIDs(s, scene.Paying), Rate: bookingRate, RetryRefused: true,
			Pipeline: s.Pipeline(scene.Book), DeadlineMillis: 1000,
		},
		{
			Name: lookupClass, Teams: teamIDs(s, scene.Paying), Rate: lookupRate, RetryRefused: true,
			Pipeline: s.Pipeline(scene.Lookup), DeadlineMillis: 500,
		},
	}
	if sc.free > 0 {
		mix = append(mix, free)
	}
	return mix
}

func teamIDs(s *scene.Fleet, tier string) []string {
	var ids []string
	for _, t := range s.Bundle.Teams {
		if t.Tier == tier {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// worstAttainment returns the lowest attainment of any window of windowSeconds whole
// seconds.
func worstAttainment(c *load.ClassResult) float64 {
	lowest := 1.0
	for i := windowSeconds; i < len(c.Seconds); i++ {
		var window load.Second
		for _, s := range c.Seconds[i-windowSeconds : i] {
			window.Sent += s.Sent
			window.InTime += s.InTime
		}
		if window.Sent > 0 {
			lowest = min(lowest, float64(window.InTime)/float64(window.Sent))
		}
	}
	return lowest
}

// runnerTime is the time for which runs occupied runner slots, and the part of it that
// was wasted on calls without an answer in time.
type runnerTime struct {
	// byStage and wastedByStage are keyed by stage name.
	byStage, wastedByStage map[string]time.Duration
	total, wasted          time.Duration
}

func runnerTimeOf(t trial) runnerTime {
	inTime := map[string]bool{}
	for _, c := range t.result.Classes {
		for _, id := range c.InTimeRequests {
			inTime[id] = true
		}
	}
	c := runnerTime{byStage: map[string]time.Duration{}, wastedByStage: map[string]time.Duration{}}
	for _, rec := range t.records {
		for _, run := range rec.Runs {
			if run.At.Before(t.start) {
				continue
			}
			busy := time.Duration(run.BusyMicros) * time.Microsecond
			c.byStage[run.Stage] += busy
			c.total += busy
			if !inTime[run.Request] {
				c.wastedByStage[run.Stage] += busy
				c.wasted += busy
			}
		}
	}
	return c
}

// wastedShare returns the wasted part of the total, from 0 to 1.
func (c runnerTime) wastedShare() float64 {
	if c.total == 0 {
		return 0
	}
	return float64(c.wasted) / float64(c.total)
}

// coldOverload returns the largest number of runs by which the load of a runner in cold
// start exceeded its cold slots, at least 0, and how often a cold start was restarted by
// too much load.
func coldOverload(recs []runner.Record) (excess, collapses int) {
	for _, rec := range recs {
		excess = max(excess, rec.MaxColdLoad-rec.ColdSlots)
		collapses += rec.Collapses
	}
	return excess, collapses
}

// lastRunDelay returns how long after from the last run that a zone's runners began
// before to started. It returns 0 if they began none between from and to.
func lastRunDelay(recs []runner.Record, zone string, from, to time.Time) time.Duration {
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
