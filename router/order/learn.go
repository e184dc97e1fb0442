package order

import (
	"time"

	"cicadawell.dev/fleet/fault"
)

// learn takes in how an order ended at now.
func (d *driver) learn(s Step, now time.Time, err error) {
	runner := s.Runner.ID
	if err == nil || fault.Of(err).Outcome() != fault.NotRun {
		d.ordered[runner] = now
		if len(s.Adds) > 0 {
			d.pace = d.pace.WithLoad(now)
		}
	}
	if err != nil && fault.Of(err).Outcome() != fault.NotRun {
		// It may still arrive.
		d.tenure = d.tenure.WithUnsettled(runner, now, d.limits)
	}
}
