// Package policy has the switches for the scheduling and routing decisions of an
// instance. Each decision can be disabled on its own, to measure its effect on a
// workload or to avoid it where it does harm.
package policy

import "cicadawell.dev/fleet/config"

// Policy has one switch per decision. The zero value disables all of them.
type Policy struct {
	// StageOwners has one instance collect the pieces of a service into batches for
	// all instances. Without it each instance fills batches from its own calls only.
	StageOwners bool `json:"stageOwners"`
	// ZoneShards divides large services by zone among several owners. Without it one
	// owner schedules all runners of a service.
	ZoneShards bool `json:"zoneShards"`
	// Reservations refuses a call before any work is done for it if one of its stages
	// is forecast to finish too late.
	Reservations bool `json:"reservations"`
	// MeasuredThroughput bases forecasts on the measured throughput of the runners
	// while pieces are queued. Without it forecasts assume that all batches are full.
	MeasuredThroughput bool `json:"measuredPace"`
	// FinishStartedFirst gives priority to orders that already have pieces sent to a
	// runner.
	FinishStartedFirst bool `json:"begunFirst"`
	// DropLateOrders drops late orders from the queue while it has orders that can
	// still meet their objective.
	DropLateOrders bool `json:"dropOvertaken"`
	// CheckResultMemory checks the memory for results at a runner before pieces are
	// sent to it.
	CheckResultMemory bool `json:"rooms"`
	// ResultZoneAffinity has results made in the zone of the engine that will read
	// them.
	ResultZoneAffinity bool `json:"resultZones"`
	// PlacementOwners has one instance place the calls of a service at engines for
	// all instances.
	PlacementOwners bool `json:"placementOwners"`
	// PromptCacheAffinity places calls at engines that have parts of their prompts
	// cached.
	PromptCacheAffinity bool `json:"keptPrompts"`
	// PromptHashing uses rendezvous hashing to choose one engine for a prompt part
	// that no engine is known to have cached, so that all instances choose the same
	// one.
	PromptHashing bool `json:"promptHomes"`
	// ResumeStalled resumes a stalled stream at another runner.
	ResumeStalled bool `json:"moveStalled"`
	// ZoneStoreReaders has one instance of each zone read the store and forward the
	// data to the others. Without it each instance reads the store.
	ZoneStoreReaders bool `json:"storeLeads"`
	// TargetBackoff avoids runners that fail or are slow for a backoff period.
	TargetBackoff bool `json:"setAside"`
	// RouteRanks ranks calls by the priority of their team and, among teams of equal
	// priority, by that of their route. Without it the route's priority counts only for
	// teams without one.
	RouteRanks bool `json:"routeRanks"`
	// PathForecasts adds up the waits of the stages of a call when it is admitted.
	// Without it each stage is compared with the objective by itself.
	PathForecasts bool `json:"pathForecasts"`
	// PromptQuarantine refuses calls whose prompts have parts that crash runners.
	PromptQuarantine bool `json:"quarantine"`
	// WeightedOwners prefers instances with more CPU time as owners.
	WeightedOwners bool `json:"weightedOwners"`
	// ReportedLoad uses the load and the slowdown that runners report in their answers
	// to choose among them and to forecast the wait for a stage.
	ReportedLoad bool `json:"reportedLoad"`
	// EngineSpeeds learns the times of services and the speeds of their engines from the
	// times to first events. Without it all engines are taken to be alike.
	EngineSpeeds bool `json:"engineSpeeds"`
	// PromptProgress counts what an engine is expected to have processed of the prompts
	// of calls without a first event. Without it these count as a whole until then.
	PromptProgress bool `json:"promptProgress"`
	// OutputCost counts the output that calls at an engine still have to generate, as
	// far as it delays the next prompt. Without it all running calls count alike.
	OutputCost bool `json:"outputCost"`
	// Detours opens connections to runners through other instances while this instance is
	// cut off from them.
	Detours bool `json:"detours"`
}

// Default enables all decisions.
func Default() Policy {
	return Policy{
		StageOwners: true, ZoneShards: true, Reservations: true, MeasuredThroughput: true, FinishStartedFirst: true, DropLateOrders: true, CheckResultMemory: true, ResultZoneAffinity: true,
		PlacementOwners: true, PromptCacheAffinity: true, PromptHashing: true, ResumeStalled: true, ZoneStoreReaders: true, TargetBackoff: true, PromptQuarantine: true, RouteRanks: true, PathForecasts: true,
		WeightedOwners: true, ReportedLoad: true, EngineSpeeds: true, PromptProgress: true, OutputCost: true, Detours: true,
	}
}

// Read reads a JSON file with comments, whose values override the defaults. If
// path is empty, it returns the defaults.
func Read(path string) (Policy, error) {
	if path == "" {
		return Default(), nil
	}
	return config.Read(path, Default())
}
