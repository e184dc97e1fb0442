package relay

import (
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/routing"
)

const (
	// stopObjectives times the route's objective, and stopDurations times the longest
	// recent call of the route, is the time that a call must have left when its
	// instance stops.
	stopObjectives = 4
	stopDurations  = 2
)

// checkStop refuses a call that may not end before its instance stops: no runner has
// it yet, and other instances can serve it.
func (x *relay) checkStop(p *callPlan, now time.Time) error {
	stop := p.call.StopsAt
	if stop.IsZero() || !p.deadline.After(stop) {
		return nil
	}
	if left := stop.Sub(now); left >= neededTime(p.route, x.durations.longest(p.route.Name, now)) {
		return nil
	}
	return fault.New(fault.NotReady, "the instance stops before the call may have ended").WithRetryAfter(time.Millisecond)
}

// neededTime returns how long a call of a route may take, if the longest of the recent
// ones took a time. While none is known it may take the route's whole timeout.
func neededTime(r *routing.Route, longest time.Duration) time.Duration {
	if longest == 0 {
		return r.Timeout
	}
	return max(stopObjectives*r.Objective, stopDurations*longest)
}
