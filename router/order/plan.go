package order

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"cicadawell.dev/fleet/bundle"
)

// Seen is a runner as it was last seen.
type Seen struct {
	// Runner is its row in the bundle in force; Models are the wanted ones.
	Runner bundle.Runner
	// Known tells that its state could be read.
	Known bool
	// Models are those that it has loaded.
	Models []string
	// Settling tells that it is in cold start or was ordered just now.
	Settling bool
	// Out tells that it receives no new work.
	Out bool
}

// Step is one order that may be given next.
type Step struct {
	Runner bundle.Runner
	// Adds and Removes are the models that the order changes.
	Adds    []string
	Removes []string
	// Witnesses are the runners that go on serving what this one gives up.
	// They are held while the order is given, so that nobody orders them.
	Witnesses []string
}

// Reason says in a few words what the step is for.
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

// Withheld is a runner that differs from the bundle and may not be ordered yet.
type Withheld struct {
	Runner string
	Reason string
}

// Plan returns the orders that may be given to the runners of one service, the
// model with the fewest servers first, and the orders that have to wait.
//
// An order to a runner in service is given only while no other runner of the
// service is settling, and only one at a time. An order that takes a wanted
// model from a runner in service needs a witness for it.
func Plan(seen []Seen) ([]Step, []Withheld) {
	p := planner{seen: seen, wanted: map[string]bool{}, servers: map[string]int{}}
	for _, s := range seen {
		for _, m := range s.Runner.Models {
			p.wanted[m] = true
		}
		for _, m := range s.Models {
			p.servers[m]++
		}
	}
	steps := []Step{}
	withheld := []Withheld{}
	for _, s := range p.ordered() {
		step, reason := p.step(s)
		if reason != "" {
			withheld = append(withheld, Withheld{Runner: s.Runner.ID, Reason: reason})
			continue
		}
		p.disturbed = p.disturbed || p.serves(s)
		steps = append(steps, step)
	}
	return steps, withheld
}

// planner holds what Plan knows of the whole service.
type planner struct {
	seen []Seen
	// wanted are the models that the bundle wants anywhere.
	wanted map[string]bool
	// servers counts the runners that have a model loaded.
	servers map[string]int
	// disturbed tells that a step to a runner in service was planned.
	disturbed bool
}

// ordered returns the runners that differ from the bundle, in the order in
// which they are ordered.
func (p *planner) ordered() []Seen {
	todo := []Seen{}
	for _, s := range p.seen {
		if !s.Known || len(without(s.Runner.Models, s.Models)) > 0 || len(without(s.Models, s.Runner.Models)) > 0 {
			todo = append(todo, s)
		}
	}
	slices.SortFunc(todo, func(a, b Seen) int {
		return cmp.Or(cmp.Compare(p.rarest(a), p.rarest(b)), cmp.Compare(a.Runner.ID, b.Runner.ID))
	})
	return todo
}

// rarest returns the fewest servers of any model that s lacks; a runner that
// only gives models up comes last.
func (p *planner) rarest(s Seen) int {
	fewest := len(p.seen) + 1
	for _, m := range without(s.Runner.Models, s.Models) {
		fewest = min(fewest, p.servers[m])
	}
	return fewest
}

// step returns the step for s, or why it has to wait.
func (p *planner) step(s Seen) (Step, string) {
	switch {
	case !s.Known:
		return Step{}, "its state could not be read"
	case s.Settling:
		return Step{}, "it is settling"
	}
	step := Step{Runner: s.Runner, Adds: without(s.Runner.Models, s.Models), Removes: without(s.Models, s.Runner.Models)}
	if !p.serves(s) {
		return step, ""
	}
	if p.disturbed {
		return Step{}, "another runner of the service is ordered first"
	}
	if other := p.settling(s); other != "" {
		return Step{}, "runner " + other + " of the service is settling"
	}
	for _, m := range step.Removes {
		if !p.wanted[m] {
			continue
		}
		w := p.witness(s, m)
		if w == "" {
			return Step{}, fmt.Sprintf("it is the last runner that serves model %s", m)
		}
		step.Witnesses = append(step.Witnesses, w)
	}
	slices.Sort(step.Witnesses)
	step.Witnesses = slices.Compact(step.Witnesses)
	return step, ""
}

// serves reports whether s is in service with a wanted model.
func (p *planner) serves(s Seen) bool {
	return !s.Out && slices.ContainsFunc(s.Models, func(m string) bool { return p.wanted[m] })
}

// settling returns another runner in service that is settling, or "".
func (p *planner) settling(s Seen) string {
	for _, other := range p.seen {
		if other.Settling && !other.Out && other.Runner.ID != s.Runner.ID {
			return other.Runner.ID
		}
	}
	return ""
}

// witness returns another runner that serves m and will go on to, or "". No
// runner in service is settling by now.
func (p *planner) witness(s Seen, m string) string {
	for _, other := range p.seen {
		keeps := slices.Contains(other.Models, m) && slices.Contains(other.Runner.Models, m)
		if other.Runner.ID != s.Runner.ID && other.Known && !other.Out && keeps {
			return other.Runner.ID
		}
	}
	return ""
}

// without returns the members of a that b lacks, in ascending order.
func without(a, b []string) []string {
	rest := []string{}
	for _, m := range a {
		if !slices.Contains(b, m) {
			rest = append(rest, m)
		}
	}
	slices.Sort(rest)
	return slices.Compact(rest)
}
