// Package inventory holds an instance's view of the fleet: the configuration in
// force, the runners, the zones taken out and the other instances. It keeps the
// view up to date from the store and from other instances.
package inventory

import (
	"time"

	"cicadawell.dev/router/era"
	"cicadawell.dev/router/rollout"
	"cicadawell.dev/router/routing"
)

// Runner is a target of calls, as last described by itself.
type Runner struct {
	ID string
	// Born identifies the incarnation among those with the same ID; zero if
	// unknown.
	Born int64
	// Count increases with each description of one incarnation.
	Count   int64
	Service string
	Address string
	Zone    string
	// Version is the version of the runner's software, or empty if it states none.
	Version string
	Slots   int
	// Draining runners finish their calls and get no new ones.
	Draining bool
	// Cold is the rest of the cold start at SeenAt, as reported by the runner.
	Cold time.Duration
	// SeenAt is when this instance read the description.
	SeenAt time.Time
	// Revision is the store's revision of the description.
	Revision era.Revision `json:"-"`
}

// supersedes reports whether the description is a later one of the same
// incarnation than another. Descriptions may reach the store out of order.
func (r *Runner) supersedes(other *Runner) bool {
	return r.Born != 0 && r.Born == other.Born && r.Count > other.Count
}

// ColdAt reports whether the runner is cold at a time.
func (r *Runner) ColdAt(now time.Time) bool { return r.Cold > 0 && now.Before(r.SeenAt.Add(r.Cold)) }

// Instance is a registered instance of the fleet.
type Instance struct {
	Name    string
	Zone    string
	Address string
	// CPUShare is the CPU time that the instance may use, in cores, or zero if it
	// registered none, as older builds do.
	CPUShare float64 `json:",omitempty"`
	// Revision is the store's revision of the registration. A new one shows that
	// the instance has restarted or lost its lease.
	Revision era.Revision `json:"-"`
}

// ZoneReturn is a zone's return to service after it was taken out. A runner's
// description from before it does not show whether the runner is cold, so
// package target treats the runner as cold until it had time to send a newer
// one. Runner.ColdAt only considers the description.
type ZoneReturn struct {
	// Revision is the store's revision of the return.
	Revision era.Revision
	// SeenAt is when this instance read the return.
	SeenAt time.Time
}

// Quarantine is a set of prompt parts of a service that crash its runners. Calls
// whose prompts have all of the parts are refused.
type Quarantine struct {
	ID      string
	Service string
	// Parts are the identifiers of the parts, sorted.
	Parts []string
	// Evidence is the time from the first crash to the decision.
	Evidence time.Duration
	// SeenAt is when this instance read the quarantine.
	SeenAt time.Time
	// Revision is the store's revision of the quarantine.
	Revision era.Revision `json:"-"`
}

// ServiceVersions are the versions of a service's runners that served recently. There is a
// record only while there are several, and for a time after that.
type ServiceVersions struct {
	Service string `json:"service"`
	// Versions are sorted.
	Versions []string `json:"versions"`
	// Revision is the store's revision of the record; zero if there is none.
	Revision era.Revision `json:"-"`
}

// Snapshot is the view of the fleet at one revision. It is immutable.
type Snapshot struct {
	// Table is nil until a configuration is known.
	Table *routing.Table
	// Runners is keyed by identifier.
	Runners map[string]*Runner
	// Ended has the items that the store has shown as ended in its present era, while items
	// of an earlier one may be carried.
	Ended map[itemKey]bool
	// Departed has the last descriptions of runners that were gone when the store came back
	// from a copy, which may still have them, while items of an earlier era may be carried.
	Departed map[string]*Runner
	// HeldRemovals has the runners whose removals are held back after an outage
	// of the store, with the revisions of the removals. They stay in Runners
	// until they describe themselves again or the removals are applied.
	HeldRemovals map[string]era.Revision
	// ZonesOut has the zones that are taken out; their runners get no new calls.
	ZonesOut map[string]bool
	// CarriedZones has those of ZonesOut that the store hasn't shown in its present era.
	CarriedZones map[string]bool
	// ReturnedZones has the zones that were returned to service, with the latest
	// return.
	ReturnedZones map[string]ZoneReturn
	// Instances is keyed by name.
	Instances map[string]Instance
	// Quarantines is keyed by identifier.
	Quarantines map[string]*Quarantine
	// RolloutOrders has the operators' orders and Rollouts the decisions on them, by
	// service.
	RolloutOrders map[string]rollout.Order
	Rollouts      map[string]rollout.State
	// Versions has the records of versions by service.
	Versions map[string]ServiceVersions
	// Revision is the store's revision up to which the snapshot is complete.
	Revision era.Revision
	// EraSince is when an instance learned of the present era, while items of an earlier one
	// may be carried; zero otherwise. The revisions of all items are of the present era.
	EraSince time.Time
	// Late is set if the view has only what the store holds in its present era, since the
	// instance started in it and hasn't adopted the view of one that hadn't.
	Late bool
}

// late reports whether the snapshot adds nothing to what the store holds in its present era.
func (s *Snapshot) late() bool { return s.Late || !s.Revision.Stored() }

// version returns the version of the configuration, or zero if none is known.
func (s *Snapshot) version() int64 {
	if s.Table == nil {
		return 0
	}
	return s.Table.Version()
}

// Usable returns the runners of a service that accept new calls.
func (s *Snapshot) Usable(service string) []*Runner {
	var out []*Runner
	for _, r := range s.Runners {
		if r.Service == service && !r.Draining && !s.ZonesOut[r.Zone] {
			out = append(out, r)
		}
	}
	return out
}
