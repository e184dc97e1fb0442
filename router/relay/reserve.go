package relay

import (
	"slices"
	"strconv"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/placement"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/stage"
	"cicadawell.dev/router/target"
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
			forecasts[i] = x.Pieces.Reserve(p.ctx, x.reservation(p, i, starts[i]))
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
	if x.Policy.PathForecasts && slices.ContainsFunc(forecasts, func(f stage.Forecast) bool { return f.Wait > 0 }) {
		if err := x.checkPath(p, forecasts); err != nil {
			x.cancelReservations(p)
			return err
		}
	}
	return nil
}

// reservation returns the reservation of stage i.
func (x *relay) reservation(p *callPlan, i int, start time.Time) stage.Reservation {
	return stage.Reservation{
		ID: orderID(p, i), Shard: x.shardOf(p, p.route.Stages[i].Service), Pieces: p.call.Pieces[i], EarliestArrival: start, Rank: p.priority,
		Deadline: p.stagesDeadline, Due: p.call.Arrived.Add(p.route.Objective), MinRemaining: x.timeAfter(p, i),
	}
}

// checkPath returns an error if the call would miss its objective because of the waits
// of all its stages together.
func (x *relay) checkPath(p *callPlan, forecasts []stage.Forecast) error {
	err := x.pathRefusal(p, forecasts)
	if err != nil {
		path := newPath(p.route, forecasts, func(i int) time.Duration { return x.stageTime(p, i) })
		x.Log.Warn("path refused", "request", p.call.ID, "route", p.route.Name, "rank", p.priority, "waitMillis", path.wait().Milliseconds(),
			"pathMillis", path.loaded.Milliseconds(), "leftMillis", p.call.Arrived.Add(p.route.Objective).Sub(x.Clock.Now()).Milliseconds())
	}
	return err
}

// pathRefusal is checkPath without its log line.
func (x *relay) pathRefusal(p *callPlan, forecasts []stage.Forecast) error {
	path := newPath(p.route, forecasts, func(i int) time.Duration { return x.stageTime(p, i) })
	excess := path.excess(p.call.Arrived.Add(p.route.Objective).Sub(x.Clock.Now()))
	if excess <= 0 {
		return nil
	}
	return fault.New(fault.Overloaded, "the stages would wait %v", path.wait()).WithRetryAfter(excess)
}

// pathForecast is how long the stages of a call take until the results of all final
// stages are made. It answers overload of several stages in a row, each of which alone
// could still be made in time.
type pathForecast struct {
	// idle is the time without waits, loaded the time with them, longest that of the
	// longest stage.
	idle, loaded, longest time.Duration
}

func newPath(r *routing.Route, forecasts []stage.Forecast, stageTime func(i int) time.Duration) pathForecast {
	var f pathForecast
	idleEnds, loadedEnds := make([]time.Duration, len(r.Stages)), make([]time.Duration, len(r.Stages))
	for i, s := range r.Stages {
		var idleStart, loadedStart time.Duration
		for _, a := range s.After {
			idleStart, loadedStart = max(idleStart, idleEnds[a]), max(loadedStart, loadedEnds[a])
		}
		d := stageTime(i)
		idleEnds[i] = idleStart + d
		loadedEnds[i] = loadedStart + forecasts[i].Wait + d
		f.idle, f.loaded, f.longest = max(f.idle, idleEnds[i]), max(f.loaded, loadedEnds[i]), max(f.longest, d)
	}
	return f
}

// wait returns how much longer the stages take because of their waits.
func (f pathForecast) wait() time.Duration { return f.loaded - f.idle }

// minWaitRatio is the wait, relative to the time of the stages, up to which a call isn't
// refused although it may be late. On routes whose objective leaves little beyond the
// stages themselves, a normal load would refuse calls that are late by little.
const minWaitRatio = 0.5

// excess returns by how much the call would miss its objective, or zero if it isn't
// refused: a call that would be late without any wait, or that waits for little. The
// size of the prompt doesn't count, so that large calls are refused no more often than
// small ones.
func (f pathForecast) excess(left time.Duration) time.Duration {
	left -= placement.FirstEventTime(target.Prompt{})
	if f.idle > left || f.wait() <= max(f.longest, time.Duration(minWaitRatio*float64(f.idle))) {
		return 0
	}
	return max(0, f.loaded-left)
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
