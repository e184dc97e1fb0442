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

// maxZones is how many zones a call may try to reserve its stages in. Further zones
// would cost messages when the instances are busiest.
const maxZones = 2

// reserve is the admission check of calls with stages: it chooses the zone that
// runs them, and reserves capacity for each stage before any work is done. If a
// stage would be too late there, another zone is tried, and finally the call is
// refused with the waiting time of that stage as the time to retry after.
func (x *relay) reserve(p *callPlan) error {
	refused := make(map[string]bool)
	// shortest is the refusal with the shortest waiting time.
	var shortest error
	for range maxZones {
		zone := x.chooseZone(p, refused)
		if zone == "" && len(refused) > 0 {
			break
		}
		p.zone = zone
		if !x.Policy.Reservations {
			return nil
		}
		err := x.reserveIn(p)
		if err == nil {
			return nil
		}
		if shortest == nil || fault.Of(err).RetryAfter() < fault.Of(shortest).RetryAfter() {
			shortest = err
		}
		refused[zone] = true
	}
	return shortest
}

// reserveIn reserves capacity for all stages in the zone of the call, or none.
func (x *relay) reserveIn(p *callPlan) error {
	starts := x.earliestStarts(p)
	forecasts := make([]stage.Forecast, len(starts))
	var group errgroup.Group
	for i, s := range p.route.Stages {
		if p.call.Pieces[i] == 0 {
			continue
		}
		group.Go(func() error {
			sh := x.shardOf(p, s.Service)
			forecasts[i] = x.Pieces.Reserve(p.ctx, stage.Reservation{
				ID: orderID(p, i), Shard: sh, Pieces: p.call.Pieces[i], EarliestArrival: starts[i], Rank: p.priority,
				Deadline: p.stagesDeadline, Due: p.call.Arrived.Add(p.route.Objective), MinRemaining: x.timeAfter(p, i),
			})
			x.Shards.Report(sh, forecasts[i].Wait)
			return nil
		})
	}
	_ = group.Wait()
	for i, f := range forecasts {
		if f.Refused {
			sh := x.shardOf(p, p.route.Stages[i].Service)
			x.Log.Warn("stage refused", "request", p.call.ID, "stage", i, "service", sh.Service, "shardZone", sh.Zone, "rank", p.priority,
				"waitMillis", f.Wait.Milliseconds(), "objectiveMillis", p.route.Objective.Milliseconds())
			x.cancelReservations(p)
			return fault.New(fault.Overloaded, "stage %d would wait %v", i, f.Wait).WithRetryAfter(f.Wait)
		}
	}
	return nil
}

// cancelReservations cancels the reservations of stages whose orders weren't sent.
func (x *relay) cancelReservations(p *callPlan) {
	for i, s := range p.route.Stages {
		if p.call.Pieces[i] > 0 {
			x.Pieces.Cancel(x.shardOf(p, s.Service), orderID(p, i))
		}
	}
}

// earliestStarts returns the earliest start of each stage of a call, without
// queueing.
func (x *relay) earliestStarts(p *callPlan) []time.Time {
	starts := make([]time.Time, len(p.route.Stages))
	for i, s := range p.route.Stages {
		starts[i] = x.Clock.Now()
		for _, a := range s.After {
			if end := starts[a].Add(x.stageTime(p, a)); end.After(starts[i]) {
				starts[i] = end
			}
		}
	}
	return starts
}
