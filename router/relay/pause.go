package relay

import (
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/placement"
)

// withPause sets the time to retry after to the end of the first pause, if all runners
// of the call's service are paused.
func (x *relay) withPause(p *callPlan, err *fault.Error) error {
	if d := x.Targets.PausedFor(p.service); d > 0 {
		return err.WithRetryAfter(d)
	}
	return err
}

// checkPause refuses a call before its stages are run if all runners of its service
// are paused until it can't meet its deadline.
func (x *relay) checkPause(p *callPlan) error {
	d := x.Targets.PausedFor(p.service)
	if d == 0 || x.Clock.Now().Add(d+placement.FirstEventTime(p.call.Prompt)).Before(p.deadline) {
		return nil
	}
	return fault.New(fault.NoRunner, "all runners of %q are paused", p.service).WithRetryAfter(d)
}
