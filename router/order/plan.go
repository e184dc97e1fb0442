package order

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"cicadawell.dev/fleet/bundle"
)

// Observation is the last observed state of a runner.
type Observation struct {
	// Runner is its row in the bundle in force; Runner.Models are the wanted
	// models.
	Runner bundle.Runner
	// Reachable is true if its state could be read.
	Reachable bool
	// Loaded are the models that it has loaded.
	Loaded []string
	// Settling is true during a cold start and shortly after an order.
	Settling bool
	// Out is true if it receives no new work.
	Out bool
}

// Step is one order that may be sent next.
type Step struct {
	Runner bundle.Runner
	// Adds and Removes are the models that the order loads and unloads.
	Adds    []string
	Removes []string
	// Replicas are other runners that continue to serve the removed models.
	// They are locked while the order is sent, so that no other instance
	// changes their models.
	Replicas []string
}

// Reason summarizes the changes of the step.
func (s Step) Reason() string {
	parts := []string{}
	if len(s.Adds) > 0 {
		parts = append(parts, "load "+strings.Join(s.Adds, ", "))
	}
	if len(s.Removes) > 0 {
		parts = append(parts, "unload "+strings.Join(s.Removes, ", "))
	}
	return strings.Join(parts, "; ")
}

// Deferred is a runner that differs from the bundle but has to wait for its
// order.
type Deferred struct {
	Runner string
	Reason string
}

// Plan returns the orders that may be sent to the runners of one service, those
// for the model with the fewest servers first, and the orders that have to wait.
//
// An order to a runner in service is planned only while no other runner of the
// service is settling, and only one at a time. An order that removes a wanted
// model from a runner in service requires another replica that keeps it.
func Plan(observed []Observation) ([]Step, []Deferred) {
	p := planner{observed: observed, wanted: map[string]bool{}, servers: map[string]int{}}
	for _, s := range observed {
		for _, m := range s.Runner.Models {
			p.wanted[m] = true
		}
		for _, m := range s.Loaded {
			p.servers[m]++
		}
	}
	steps := []Step{}
	deferred := []Deferred{}
	for _, s := range p.mismatched() {
		step, reason := p.step(s)
		if reason != "" {
			deferred = append(deferred, Deferred{Runner: s.Runner.ID, Reason: reason})
			continue
		}
		p.inServicePlanned = p.inServicePlanned || p.inService(s)
		steps = append(steps, step)
	}
	return steps, deferred
}

// planner holds the state of the whole service for Plan.
type planner struct {
	observed []Observation
	// wanted are the models that the bundle wants on any runner.
	wanted map[string]bool
	// servers counts the runners that have a model loaded.
	servers map[string]int
	// inServicePlanned is true once a step for a runner in service is planned.
	inServicePlanned bool
}

// mismatched returns the runners that differ from the bundle or could not be
// read, in the order in which they are planned.
func (p *planner) mismatched() []Observation {
	differing := []Observation{}
	for _, s := range p.observed {
		if !s.Reachable || len(difference(s.Runner.Models, s.Loaded)) > 0 || len(difference(s.Loaded, s.Runner.Models)) > 0 {
			differing = append(differing, s)
		}
	}
	slices.SortFunc(differing, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(p.fewestServers(a), p.fewestServers(b)), cmp.Compare(a.Runner.ID, b.Runner.ID))
	})
	return differing
}

// fewestServers returns the lowest number of servers of any model that s lacks.
// For a runner that only removes models the result is above all others, so that
// it is sorted last.
func (p *planner) fewestServers(s Observation) int {
	fewest := len(p.observed) + 1
	for _, m := range difference(s.Runner.Models, s.Loaded) {
		fewest = min(fewest, p.servers[m])
	}
	return fewest
}

// step returns the step for s, or why it has to wait.
func (p *planner) step(s Observation) (Step, string) {
	switch {
	case !s.Reachable:
		return Step{}, "its state could not be read"
	case s.Settling:
		return Step{}, "it is settling"
	}
	step := Step{Runner: s.Runner, Adds: difference(s.Runner.Models, s.Loaded), Removes: difference(s.Loaded, s.Runner.Models)}
	if !p.inService(s) {
		return step, ""
	}
	if p.inServicePlanned {
		return Step{}, "another runner of the service is ordered first"
	}
	if other := p.otherSettling(s); other != "" {
		return Step{}, "runner " + other + " of the service is settling"
	}
	for _, m := range step.Removes {
		if !p.wanted[m] {
			continue
		}
		replica := p.otherReplica(s, m)
		if replica == "" {
			return Step{}, fmt.Sprintf("it is the last runner that serves model %s", m)
		}
		step.Replicas = append(step.Replicas, replica)
	}
	slices.Sort(step.Replicas)
	step.Replicas = slices.Compact(step.Replicas)
	return step, ""
}

// inService reports whether s receives work and has a wanted model loaded.
func (p *planner) inService(s Observation) bool {
	return !s.Out && slices.ContainsFunc(s.Loaded, func(m string) bool { return p.wanted[m] })
}

// otherSettling returns another runner that receives work and is settling, or "".
func (p *planner) otherSettling(s Observation) string {
	for _, other := range p.observed {
		if other.Settling && !other.Out && other.Runner.ID != s.Runner.ID {
			return other.Runner.ID
		}
	}
	return ""
}

// otherReplica returns another runner that serves m and is wanted to keep it, or
// "". When it is called, no other runner that receives work is settling.
func (p *planner) otherReplica(s Observation, m string) string {
	for _, other := range p.observed {
		keeps := slices.Contains(other.Loaded, m) && slices.Contains(other.Runner.Models, m)
		if other.Runner.ID != s.Runner.ID && other.Reachable && !other.Out && keeps {
			return other.Runner.ID
		}
	}
	return ""
}

// difference returns the elements of a that b lacks, in ascending order.
func difference(a, b []string) []string {
	missing := []string{}
	for _, m := range a {
		if !slices.Contains(b, m) {
			missing = append(missing, m)
		}
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}
