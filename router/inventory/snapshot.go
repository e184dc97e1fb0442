// Package inventory holds what an instance knows of its fleet: the
// configuration in force, the runners, the zones taken out and the other
// instances.
package inventory

import (
	"time"

	"cicadawell.dev/router/routing"
)

// Runner is a target of calls, as it last described itself.
type Runner struct {
	ID string
	// Born tells incarnations of the same ID apart; zero if it isn't known.
	Born int64
	// Count grows with the descriptions of one incarnation.
	Count   int64
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining runners finish what they have and get nothing new.
	Draining bool
	// Cold is how long the runner said, at SeenAt, that it stays cold.
	Cold time.Duration
	// SeenAt is when this instance read the description.
	SeenAt time.Time
	// Revision is that of the description at the store.
	Revision int64
}

// follows reports whether the description is a later one of the same
// incarnation than another. Descriptions may reach the store out of order.
func (r *Runner) follows(other *Runner) bool {
	return r.Born != 0 && r.Born == other.Born && r.Count > other.Count
}

// ColdAt reports whether the runner is cold at a time.
func (r *Runner) ColdAt(now time.Time) bool { return r.Cold > 0 && now.Before(r.SeenAt.Add(r.Cold)) }

// Instance is a member of the fleet.
type Instance struct {
	Name    string
	Zone    string
	Address string
	// Revision is that of the registration at the store; a new one tells that
	// the instance has started again or lost its lease.
	Revision int64
}

// Return is the end of a zone's evacuation. Descriptions of runners that are
// older say nothing of their warmth until the runners had time for newer ones.
type Return struct {
	// Revision is that of the store.
	Revision int64
	// SeenAt is when this instance read of it.
	SeenAt time.Time
}

// Snapshot is what was known at one time. It doesn't change.
type Snapshot struct {
	// Table is nil as long as no configuration is known.
	Table *routing.Table
	// Runners is by identifier.
	Runners map[string]*Runner
	// Lapsed has, of the runners, those whose descriptions were removed when the
	// store had been away, with the revision of the removal. They are kept until
	// it is clear whether they left.
	Lapsed map[string]int64
	// ZonesOut holds the zones whose runners get nothing new.
	ZonesOut map[string]bool
	// ZonesBack has the zones that were taken back.
	ZonesBack map[string]Return
	// Instances is by name.
	Instances map[string]Instance
	// Revision is that of the store up to which this is complete.
	Revision int64
}

// Usable returns the runners of a service that take new calls.
func (s *Snapshot) Usable(service string) []*Runner {
	var out []*Runner
	for _, r := range s.Runners {
		if r.Service == service && !r.Draining && !s.ZonesOut[r.Zone] {
			out = append(out, r)
		}
	}
	return out
}
