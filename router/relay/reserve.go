package relay

import (
	"strconv"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/stage"
	"golang.org/x/sync/errgroup"
)

// orderID names the order for one stage of a call.
func orderID(p *plan, i int) string { return p.call.ID + "/" + strconv.Itoa(i) }

// reserve asks the makers of all stages whether the call can be answered in
// time, before any work is done for it. If one refuses, the call is refused with
// the time after which it would have been taken.
func (x *relay) reserve(p *plan) error {
	if !x.Policy.Reservations {
		return nil
	}
	ready := x.earliest(p)
	forecasts := make([]stage.Forecast, len(ready))
	var group errgroup.Group
	for i, s := range p.route.Stages {
		if p.call.Pieces[i] == 0 {
			continue
		}
		group.Go(func() error {
			forecasts[i] = x.Pieces.Reserve(p.ctx, stage.Reservation{
				ID: orderID(p, i), Service: s.Service, Pieces: p.call.Pieces[i], Ready: ready[i], Rank: p.priority,
				Until: p.until, Due: p.call.Arrived.Add(p.route.Objective), After: x.restOf(p, i),
			})
			return nil
		})
	}
	_ = group.Wait()
	for i, f := range forecasts {
		if f.Refused {
			x.Log.Warn("stage refused", "request", p.call.ID, "stage", i, "service", p.route.Stages[i].Service, "rank", p.priority,
				"waitMillis", f.Wait.Milliseconds(), "objectiveMillis", p.route.Objective.Milliseconds())
			x.cancelReservations(p)
			return fault.New(fault.Overloaded, "stage %d would wait %v", i, f.Wait).WithRetryAfter(f.Wait)
		}
	}
	return nil
}

// cancelReservations gives up the places of all stages whose orders didn't come.
func (x *relay) cancelReservations(p *plan) {
	for i, s := range p.route.Stages {
		if p.call.Pieces[i] > 0 {
			x.Pieces.Cancel(s.Service, orderID(p, i))
		}
	}
}

// earliest returns when each stage of a call can begin if nothing waits.
func (x *relay) earliest(p *plan) []time.Time {
	ready := make([]time.Time, len(p.route.Stages))
	for i, s := range p.route.Stages {
		ready[i] = x.Clock.Now()
		for _, a := range s.After {
			if end := ready[a].Add(x.stageTime(p, a)); end.After(ready[i]) {
				ready[i] = end
			}
		}
	}
	return ready
}
