package relay

import (
	"strconv"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/stage"
	"golang.org/x/sync/errgroup"
)

// orderID returns the identifier of the order for stage i of a call.
func orderID(p *callPlan, i int) string { return p.call.ID + "/" + strconv.Itoa(i) }

// reserve is the admission check of calls with stages: it reserves capacity for
// each stage before any work is done. If a stage would be too late, all
// reservations are cancelled and the call is refused with that stage's waiting
// time as the time to retry after.
func (x *relay) reserve(p *callPlan) error {
	if !x.Policy.Reservations {
		return nil
	}
	ready := x.earliestStarts(p)
	forecasts := make([]stage.Forecast, len(ready))
	var group errgroup.Group
	for i, s := range p.route.Stages {
		if p.call.Pieces[i] == 0 {
			continue
		}
		group.Go(func() error {
			forecasts[i] = x.Pieces.Reserve(p.ctx, stage.Reservation{
				ID: orderID(p, i), Service: s.Service, Pieces: p.call.Pieces[i], EarliestArrival: ready[i], Rank: p.priority,
				Deadline: p.deadline, Due: p.call.Arrived.Add(p.route.Objective), MinRemaining: x.timeAfter(p, i),
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

// cancelReservations cancels the reservations of stages whose orders weren't
// placed.
func (x *relay) cancelReservations(p *callPlan) {
	for i, s := range p.route.Stages {
		if p.call.Pieces[i] > 0 {
			x.Pieces.Cancel(s.Service, orderID(p, i))
		}
	}
}

// earliestStarts returns the earliest start of each stage of a call, without
// queueing.
func (x *relay) earliestStarts(p *callPlan) []time.Time {
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
