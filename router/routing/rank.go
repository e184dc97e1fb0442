package routing

import (
	"cmp"
	"slices"
)

// urgencies is the number of ranks that runners distinguish.
const urgencies = 10

// precedence orders calls. The priority of the team takes precedence over that of the
// route. Most teams have the same priority, so that the route decides among their
// calls.
type precedence struct {
	// first is the team's priority, or the route's if the team has none.
	first int
	route int
}

func precedenceOf(r *Route, t *Team) precedence {
	if t != nil && t.HasPriority {
		return precedence{first: t.Priority, route: r.Priority}
	}
	return precedence{first: r.Priority, route: r.Priority}
}

func (p precedence) compare(o precedence) int {
	return cmp.Or(cmp.Compare(p.first, o.first), cmp.Compare(p.route, o.route))
}

// newRanks returns all precedences that calls may have, the highest first.
func newRanks(cfg Config) []precedence {
	seen := make(map[precedence]bool)
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		seen[precedenceOf(r, nil)] = true
		for j := range cfg.Teams {
			seen[precedenceOf(r, &cfg.Teams[j])] = true
		}
	}
	all := make([]precedence, 0, len(seen))
	for p := range seen {
		all = append(all, p)
	}
	slices.SortFunc(all, precedence.compare)
	return all
}

// Rank returns the rank of a team's calls on a route; 0 is the most urgent. The team is
// nil for calls without a key.
func (t *Table) Rank(r *Route, team *Team) int {
	i, _ := slices.BinarySearchFunc(t.ranks, precedenceOf(r, team), precedence.compare)
	return i
}

// Urgency returns a rank on the scale of the runners, which has fewer values if the
// configuration has many priorities.
func (t *Table) Urgency(rank int) int {
	if len(t.ranks) <= urgencies {
		return rank
	}
	return rank * urgencies / len(t.ranks)
}
