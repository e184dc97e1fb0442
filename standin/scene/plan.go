package scene

import (
	"fmt"

	"cicadawell.dev/fleet/bundle"
	"github.com/rotisserie/eris"
)

// Names that every plan uses.
const (
	Answer = "answer" // pipeline of four stages that ends in generation
	Book   = "book"   // pipeline of one non-idempotent stage
	Lookup = "lookup" // pipeline of one idempotent stage

	Paying = "paying" // tier, and prefix of its teams
	Free   = "free"   // tier, and prefix of its teams

	OperatorKey = "operator-key" // key of the operator who writes and rolls out bundles
	ApproverKey = "approver-key" // key of the operator who signs bundles off

	model = "base"
)

// Plan describes a fleet to start.
type Plan struct {
	Zones   int
	Routers int
	// Policy is the routing policy in the routers' settings; empty for the default.
	Policy       string
	RunnerGroups []RunnerGroup
	// PayingTeams and FreeTeams are the numbers of teams in each tier.
	PayingTeams, FreeTeams int
}

// RunnerGroup describes a group of runners with equal settings, spread over the zones.
type RunnerGroup struct {
	Service string
	Count   int
	Engine  bool
	Slots   int
	// Cold is how many concurrent runs a runner tolerates during a cold start.
	Cold int
	// LatencyMillis is the duration of one run, or of one token of an engine.
	LatencyMillis int
	WarmupMillis  int
	// Reports is whether the runners report their load.
	Reports bool
}

// TeamKey returns the API key of a team.
func TeamKey(team string) string { return "key-of-" + team }

// PlanOf returns the plan of a fleet size: demo, taxiline or loimekoda.
func PlanOf(size string) (Plan, error) {
	switch size {
	case "demo":
		return newPlan(3, 3, 2, 2, 10, []string{"bookings", "fares"}), nil
	case "taxiline":
		return newPlan(4, 5, 10, 4, 30, []string{"bookings", "fares", "administration", "dispatch"}), nil
	case "loimekoda":
		return newPlan(4, 5, 20, 4, 30, []string{"bookings", "fares", "uploads", "review"}), nil
	}
	return Plan{}, eris.Errorf("size: found %q, allowed is demo, taxiline or loimekoda", size)
}

// newPlan builds a plan. The first two services must be bookings and fares, which Book
// and Lookup call. The runners of the services after the third report no load.
func newPlan(zones, routers, engines, runnersPerService, tokenMillis int, services []string) Plan {
	plainService := func(service string, latency int) RunnerGroup {
		return RunnerGroup{Service: service, Count: runnersPerService, Slots: 16, Cold: 4, LatencyMillis: latency, WarmupMillis: 2000, Reports: true}
	}
	plan := Plan{Zones: zones, Routers: routers, PayingTeams: 3, FreeTeams: 2}
	plan.RunnerGroups = []RunnerGroup{
		plainService("encode", 5), plainService("retrieve", 10), plainService("rerank", 10),
		{
			Service: "generate", Count: engines, Engine: true, Slots: 4, Cold: 1,
			LatencyMillis: tokenMillis, WarmupMillis: 3000, Reports: true,
		},
	}
	for i, service := range services {
		group := plainService(service, 15)
		group.Reports = i < 3
		plan.RunnerGroups = append(plan.RunnerGroups, group)
	}
	return plan
}

// zone returns the name of the nth zone.
func zone(n int) string { return fmt.Sprintf("zone%d", n+1) }

// Bundle returns the configuration of the plan, without its runners.
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

// Runners returns the runners of the plan, without their addresses.
func (p Plan) Runners() []bundle.Runner {
	var runners []bundle.Runner
	for _, k := range p.RunnerGroups {
		for n := range k.Count {
			r := bundle.Runner{
				ID: fmt.Sprintf("%s%d", k.Service, n+1), Zone: zone(n % p.Zones), Service: k.Service,
				Slots: k.Slots, ColdSlots: k.Cold, WarmupMillis: int64(k.WarmupMillis), ReportsLoad: k.Reports,
			}
			if k.Engine {
				r.Models = []string{model}
			}
			runners = append(runners, r)
		}
	}
	return runners
}

// Capacity returns how many calls of Answer with the given number of tokens the
// engines can serve per second when every prompt prefix is cached.
func (p Plan) Capacity(tokens int) float64 {
	k := p.runnerGroup("generate")
	return float64(k.Count*k.Slots) / (float64(tokens*k.LatencyMillis) / 1000)
}

// runnerGroup returns the group of runners of a service.
func (p Plan) runnerGroup(service string) RunnerGroup {
	for _, k := range p.RunnerGroups {
		if k.Service == service {
			return k
		}
	}
	return RunnerGroup{}
}
