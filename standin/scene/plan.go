package scene

import (
	"fmt"

	"cicadawell.dev/fleet/bundle"
	"github.com/rotisserie/eris"
)

// Names that every plan uses.
const (
	Answer = "answer" // pipeline of four stages that ends in generation
	Book   = "book"   // pipeline whose calls may not be repeated
	Lookup = "lookup" // pipeline of one idempotent stage

	Paying = "paying" // tier, and prefix of its teams
	Free   = "free"   // tier, and prefix of its teams

	OperatorKey = "operator-key" // key of the operator who writes and rolls
	ApproverKey = "approver-key" // key of the operator who signs off

	model = "base"
)

// Plan is a fleet to start.
type Plan struct {
	Zones   int
	Routers int
	// Policy is the routers' setting of that name; empty for the default.
	Policy string
	Kinds  []Kind
	// PayingTeams and FreeTeams are how many teams each tier has.
	PayingTeams, FreeTeams int
}

// Kind is a number of equal runners, spread over the zones.
type Kind struct {
	Service string
	Count   int
	Engine  bool
	Slots   int
	Cold    int
	// LatencyMillis is the time of one run, or of one token of an engine.
	LatencyMillis int
	WarmupMillis  int
	// Reports tells whether the runners report their load.
	Reports bool
}

// TeamKey returns the API key of a team.
func TeamKey(team string) string { return "key-of-" + team }

// PlanOf returns the plan of a size: demo, taxiline or loimekoda.
func PlanOf(size string) (Plan, error) {
	switch size {
	case "demo":
		return planOf(3, 3, 2, 2, 10, []string{"bookings", "fares"}), nil
	case "taxiline":
		return planOf(4, 5, 10, 4, 30, []string{"bookings", "fares", "administration", "dispatch"}), nil
	case "loimekoda":
		return planOf(4, 5, 20, 4, 30, []string{"bookings", "fares", "uploads", "review"}), nil
	}
	return Plan{}, eris.Errorf("size: found %q, allowed is demo, taxiline or loimekoda", size)
}

// planOf builds a plan; bookings and fares are the services of Book and
// Lookup, and the last of several services reports no load.
func planOf(zones, routers, engines, others, tokenMillis int, services []string) Plan {
	pool := func(service string, latency int) Kind {
		return Kind{Service: service, Count: others, Slots: 16, Cold: 4, LatencyMillis: latency, WarmupMillis: 2000, Reports: true}
	}
	plan := Plan{Zones: zones, Routers: routers, PayingTeams: 3, FreeTeams: 2}
	plan.Kinds = []Kind{
		pool("encode", 5), pool("retrieve", 10), pool("rerank", 10),
		{
			Service: "generate", Count: engines, Engine: true, Slots: 4, Cold: 1,
			LatencyMillis: tokenMillis, WarmupMillis: 3000, Reports: true,
		},
	}
	for i, service := range services {
		kind := pool(service, 15)
		kind.Reports = i < 3
		plan.Kinds = append(plan.Kinds, kind)
	}
	return plan
}

// zone returns the name of the nth zone.
func zone(n int) string { return fmt.Sprintf("zone%d", n+1) }

// Bundle returns the configuration of the plan, without the runners.
func (p Plan) Bundle() bundle.Bundle {
	b := bundle.Bundle{Tiers: []bundle.Tier{{ID: Paying, Paying: true}, {ID: Free}}}
	for n := range p.Zones {
		b.Zones = append(b.Zones, bundle.Zone{ID: zone(n)})
	}
	for n := range p.PayingTeams {
		b.Teams = append(b.Teams, team(Paying, n))
	}
	for n := range p.FreeTeams {
		b.Teams = append(b.Teams, team(Free, n))
	}
	const resultLimit = 64 << 10
	stage := func(service string) bundle.Stage {
		return bundle.Stage{Name: service, Service: service, Idempotent: true, MaxResultBytes: resultLimit}
	}
	generate, book := stage("generate"), stage("bookings")
	generate.Model, generate.Streams = model, true
	book.Idempotent = false
	b.Pipelines = []bundle.Pipeline{
		pipeline(Answer, 2000, stage("encode"), stage("retrieve"), stage("rerank"), generate),
		pipeline(Book, 1000, book),
		pipeline(Lookup, 500, stage("fares")),
	}
	return b
}

func team(tier string, n int) bundle.Team {
	id := fmt.Sprintf("%s%d", tier, n+1)
	return bundle.Team{ID: id, Tier: tier, KeyHashes: []string{bundle.HashKey(TeamKey(id))}}
}

func pipeline(id string, deadlineMillis int64, stages ...bundle.Stage) bundle.Pipeline {
	return bundle.Pipeline{
		ID: id, Stages: stages, DeadlineMillis: deadlineMillis,
		MaxDeadlineMillis: 60_000, MaxBodyBytes: 64 << 10,
	}
}

// Runners returns the runners of the plan, without addresses.
func (p Plan) Runners() []bundle.Runner {
	var rows []bundle.Runner
	for _, k := range p.Kinds {
		for n := range k.Count {
			r := bundle.Runner{
				ID: fmt.Sprintf("%s%d", k.Service, n+1), Zone: zone(n % p.Zones), Service: k.Service,
				Slots: k.Slots, ColdSlots: k.Cold, WarmupMillis: int64(k.WarmupMillis), ReportsLoad: k.Reports,
			}
			if k.Engine {
				r.Models = []string{model}
			}
			rows = append(rows, r)
		}
	}
	return rows
}

// Capacity returns how many calls of Answer with so many tokens the engines
// bear each second, when the cache holds every prefix.
func (p Plan) Capacity(tokens int) float64 {
	k := p.kind("generate")
	return float64(k.Count*k.Slots) / (float64(tokens*k.LatencyMillis) / 1000)
}

// kind returns the kind of a service.
func (p Plan) kind(service string) Kind {
	for _, k := range p.Kinds {
		if k.Service == service {
			return k
		}
	}
	return Kind{}
}
