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
	// outLimit is how long new work may reach what was taken out: a few seconds.
	outLimit = 3 * time.Second
	// servedShare is the least share of calls that have an answer once all faults
	// are over.
	servedShare = 0.99
)

// out is a time in which a zone or a runner got no new work by an order that was
// acknowledged.
type out struct {
	zone, runner string
	from, to     time.Time
}

// covers reports whether a runner was to get nothing at a time.
func (o out) covers(rec runner.Record, at time.Time) bool {
	return (rec.Zone == o.zone || rec.Runner == o.runner) && at.After(o.from.Add(outLimit)) && at.Before(o.to)
}

// pause is a time in which a router stood still. What it had chosen before may
// leave when it goes on.
type pause struct {
	router   string
	from, to time.Time
}

// excuses reports whether a run may be late for the pause.
func (p pause) excuses(run runner.Run) bool {
	return run.From == p.router && run.At.After(p.from) && run.At.Before(p.to.Add(outLimit))
}

// seen is what a soak has to be judged by.
type seen struct {
	records []runner.Record
	// during and after are what callers got while there were faults, and once
	// they were over.
	during, after *load.Result
	outs          []out
	pauses        []pause
}

// broken returns an error for each promise that wasn't kept.
func (s seen) broken() (scene.Verdict, []error) {
	var errs []error
	var once []load.Once
	for _, result := range []*load.Result{s.during, s.after} {
		for _, c := range result.Classes {
			once = append(once, c.Calls...)
			for _, w := range c.Wrong {
				errs = append(errs, eris.Errorf("%s: wrong answer: %s", c.Name, w))
			}
		}
	}
	for _, c := range s.after.Classes {
		if served := c.Met + c.Late; float64(served) < servedShare*float64(c.Sent) {
			errs = append(errs, eris.Errorf("%s: %d of %d calls served after all faults, refused %v", c.Name, served, c.Sent, c.Refused))
		}
	}
	errs = append(errs, s.sentToWhatIsOut()...)
	v := scene.Judge(s.records, once)
	if err := v.Err(); err != nil {
		errs = append(errs, err)
	}
	return v, errs
}

// sentToWhatIsOut returns an error for each run at a runner that was to get none.
func (s seen) sentToWhatIsOut() []error {
	var errs []error
	for _, rec := range s.records {
		for _, run := range rec.Runs {
			i := slices.IndexFunc(s.outs, func(o out) bool { return o.covers(rec, run.At) })
			if i < 0 || slices.ContainsFunc(s.pauses, func(p pause) bool { return p.excuses(run) }) {
				continue
			}
			errs = append(errs, eris.Errorf("runner %s got a run of %s %v after it was taken out", rec.Runner, run.From, run.At.Sub(s.outs[i].from)))
		}
	}
	return errs
}

// zonesOf returns the zones of a configuration.
func zonesOf(b bundle.Bundle) []string {
	var ids []string
	for _, z := range b.Zones {
		ids = append(ids, z.ID)
	}
	return ids
}
