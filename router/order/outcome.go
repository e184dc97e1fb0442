package order

import (
	"time"

	"cicadawell.dev/fleet/fault"
)

// recordOutcome records the result err of an order that ended at now.
func (d *driver) recordOutcome(s Step, now time.Time, err error) {
	runner := s.Runner.ID
	if err == nil || fault.Of(err).Outcome() != fault.NotRun {
		d.orderedAt[runner] = now
		if len(s.Adds) > 0 {
			d.pace = d.pace.WithLoad(now)
		}
	}
	if err != nil && fault.Of(err).Outcome() != fault.NotRun {
		// The order may still arrive at the runner.
		d.session = d.session.WithUnansweredOrder(runner, now, d.limits)
	}
}
