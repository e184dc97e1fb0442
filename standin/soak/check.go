package soak

import (
	"slices"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/standin/load"
	"cicadawell.dev/standin/runner"
	"cicadawell.dev/standin/scene"
	"github.com/rotisserie/eris"
)

const (
	// takeoutLimit is how long new work may still reach a zone or runner after the order
	// to take it out was acknowledged: a few seconds.
	takeoutLimit = 3 * time.Second
	// minServedShare is the minimum share of calls that must be answered once all faults
	// have ended.
	minServedShare = 0.99
)

// takeout is a period in which a zone or a runner must not get new work, because an
// order to take it out was acknowledged. Only one of zone and runner is set.
type takeout struct {
	zone, runner string
	from, to     time.Time
}

// covers reports whether the takeout forbids the runner of rec to get a run at the given
// time. New work may still arrive within takeoutLimit of the order.
func (t takeout) covers(rec runner.Record, at time.Time) bool {
	return (rec.Zone == t.zone || rec.Runner == t.runner) && at.After(t.from.Add(takeoutLimit)) && at.Before(t.to)
}

// pause is a period in which a router's process was suspended. A run that the router had
// already assigned to a runner may still be sent when the process resumes.
type pause struct {
	router   string
	from, to time.Time
}

// explains reports whether the pause may have delayed a run that its router sent.
func (p pause) explains(run runner.Run) bool {
	return run.From == p.router && run.At.After(p.from) && run.At.Before(p.to.Add(takeoutLimit))
}

// observations holds what callers and runners observed during a soak.
type observations struct {
	records []runner.Record
	// during and after are what callers got during the faults and after their end.
	during, after *load.Result
	takeouts      []takeout
	pauses        []pause
}

// violations returns an error for each guarantee that was violated.
func (o observations) violations() (scene.OutcomeCounts, []error) {
	var errs []error
	var calls []load.CallOutcome
	for _, result := range []*load.Result{o.during, o.after} {
		for _, c := range result.Classes {
			calls = append(calls, c.CallOutcomes...)
			for _, w := range c.Wrong {
				errs = append(errs, eris.Errorf("%s: wrong answer: %s", c.Name, w))
			}
		}
	}
	for _, c := range o.after.Classes {
		if served := c.InTime + c.Late; float64(served) < minServedShare*float64(c.Sent) {
			errs = append(errs, eris.Errorf("%s: %d of %d calls served after all faults, refused %v", c.Name, served, c.Sent, c.Refused))
		}
	}
	errs = append(errs, o.runsDuringTakeouts()...)
	v := scene.CompareOutcomes(o.records, calls)
	if err := v.Err(); err != nil {
		errs = append(errs, err)
	}
	return v, errs
}

// runsDuringTakeouts returns an error for each run that reached a runner while the
// runner or its zone was taken out, unless a pause explains the run.
func (o observations) runsDuringTakeouts() []error {
	var errs []error
	for _, rec := range o.records {
		for _, run := range rec.Runs {
			i := slices.IndexFunc(o.takeouts, func(t takeout) bool { return t.covers(rec, run.At) })
			if i < 0 || slices.ContainsFunc(o.pauses, func(p pause) bool { return p.explains(run) }) {
				continue
			}
			errs = append(errs, eris.Errorf("runner %s got a run of %s %v after it was taken out", rec.Runner, run.From, run.At.Sub(o.takeouts[i].from)))
		}
	}
	return errs
}

// zoneIDs returns the identifiers of the zones of a configuration.
func zoneIDs(b bundle.Bundle) []string {
	var ids []string
	for _, z := range b.Zones {
		ids = append(ids, z.ID)
	}
	return ids
}
