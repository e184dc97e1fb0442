package relay

import (
	"slices"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/router/placement"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/stage"
	"cicadawell.dev/router/target"
)

// Explainer says where calls would go.
type Explainer interface {
	// Explain returns where a call would go now and why, by what this instance knows. It
	// sends and reserves nothing, and changes nothing that decisions depend on.
	Explain(c *Call) operatorapi.Where
}

// Explainable is a relay that is also an Explainer.
type Explainable interface {
	Relay
	Explainer
}

func (x *relay) Explain(c *Call) operatorapi.Where {
	var out operatorapi.Where
	p, err := x.planWith(c, mainService)
	if err == nil {
		out = operatorapi.Where{Route: p.route.Name, Team: p.team, Rank: p.priority, Service: p.service}
		err = x.explain(p, &out)
	}
	if err != nil {
		e := fault.Of(err)
		out.Refusal = &operatorapi.WhereRefusal{Kind: string(e.Kind()), Reason: e.Error(), RetryMillis: e.Message().RetryAfterMillis}
	}
	return out
}

// mainService returns the service with the largest share, the first of equal ones. The
// random choice of calls isn't used, as it advances the source of the next ones.
func mainService(r *routing.Route) string {
	return slices.MaxFunc(r.Shares, func(a, b routing.Share) int { return a.Weight - b.Weight }).Service
}

// explain adds the zone, the stages and the runners of a call, in the order of Serve.
func (x *relay) explain(p *callPlan, out *operatorapi.Where) error {
	if err := x.checkQuarantine(p); err != nil {
		return err
	}
	if p.route.Kind == routing.Streaming {
		return x.explainStream(p, out)
	}
	t, list := x.Targets.PreviewLeastLoaded(p.service, x.Zone)
	for _, c := range list {
		out.Runners = append(out.Runners, describe(c))
	}
	return x.explainChoice(p, t, out)
}

func (x *relay) explainStream(p *callPlan, out *operatorapi.Where) error {
	if err := x.checkPause(p); err != nil {
		return err
	}
	if err := x.checkPaths(); err != nil {
		return err
	}
	if err := x.explainStages(p, out); err != nil {
		return err
	}
	preview := x.Engines.Preview(x.placementRequest(p))
	out.Owner = preview.Owner
	for _, e := range preview.Engines {
		out.Runners = append(out.Runners, describeEngine(e))
	}
	return x.explainChoice(p, preview.Target, out)
}

// explainChoice adds the chosen runner, or returns the error of a call without one.
func (x *relay) explainChoice(p *callPlan, t *target.Target, out *operatorapi.Where) error {
	if t == nil {
		return x.withPause(p, fault.New(fault.NoRunner, "no runner of %q takes calls", p.service))
	}
	out.Chosen = t.Runner().ID
	return nil
}

// explainStages chooses the zone as reserve does, without reserving anything.
func (x *relay) explainStages(p *callPlan, out *operatorapi.Where) error {
	n := len(p.route.Stages)
	if n > 0 && len(p.call.Pieces) != n {
		return fault.New(fault.BadRequest, "found %d counts of pieces, the route has %d stages", len(p.call.Pieces), n).WithField("pieces")
	}
	refused := make(map[string]bool)
	var shortest error
	for range maxZones {
		zone := x.chooseZone(p, refused)
		if zone == "" && len(refused) > 0 {
			break
		}
		p.zone, out.Zone = zone, zone
		if n == 0 || !x.Policy.Reservations {
			return nil
		}
		err := x.explainReservations(p, out)
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

// explainReservations adds the forecast of each stage in the zone of the call.
func (x *relay) explainReservations(p *callPlan, out *operatorapi.Where) error {
	starts := x.earliestStarts(p)
	forecasts := make([]stage.Forecast, len(starts))
	var refusal error
	for i, s := range p.route.Stages {
		if p.call.Pieces[i] == 0 {
			continue
		}
		r := x.reservation(p, i, starts[i])
		// The stages of a call reserve at the same time, in any order. Those before this one
		// are taken to be first.
		for j, before := range p.route.Stages[:i] {
			if x.shardOf(p, before.Service) == r.Shard {
				r.Pieces += p.call.Pieces[j]
			}
		}
		f, owner := x.Pieces.Preview(r)
		forecasts[i] = f
		out.Stages = append(out.Stages, operatorapi.WhereStage{
			Stage: i, Service: s.Service, Zone: x.shardOf(p, s.Service).Zone, WaitMicros: f.Wait.Microseconds(), Refused: f.Refused, Owner: owner,
		})
		if f.Refused && refusal == nil {
			refusal = fault.New(fault.Overloaded, "stage %d would wait %v", i, f.Wait).WithRetryAfter(f.Wait)
		}
	}
	waits := slices.ContainsFunc(forecasts, func(f stage.Forecast) bool { return f.Wait > 0 })
	if refusal != nil || !x.Policy.PathForecasts || !waits {
		return refusal
	}
	return x.pathRefusal(p, forecasts)
}

func describe(c target.Considered) operatorapi.WhereRunner {
	r := c.Target.Runner()
	return operatorapi.WhereRunner{
		ID: r.ID, Zone: r.Zone, Version: r.Version, Running: c.Running, CostMicros: c.Cost.Microseconds(), ExpectedMicros: c.Cost.Microseconds(), Slowdown: c.Slowdown,
		Backoff: c.BackedOff, PauseMillis: int64((c.PausedFor + time.Millisecond - 1) / time.Millisecond), Cold: c.Cold, NoPermit: c.NoPermit, Withheld: c.Withheld,
	}
}

func describeEngine(e placement.Engine) operatorapi.WhereRunner {
	out := describe(e.Considered)
	out.ExpectedMicros, out.Engine = e.Expected.Microseconds(), &operatorapi.WhereEngine{Placed: e.Placed, Unread: e.Unread, Pending: e.Pending, Speed: e.Speed}
	return out
}
