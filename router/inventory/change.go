package inventory

import (
	"context"
	"maps"
	"time"

	"cicadawell.dev/router/era"
	"cicadawell.dev/router/rollout"
	"cicadawell.dev/router/routing"
)

// Change is one change of an item in the store. One kind of item is set.
type Change struct {
	Revision era.Revision
	// Table is a new configuration.
	Table *routing.Table
	// Runner is a new description of a runner. RemovedRunner is the identifier of
	// a runner whose description was removed.
	Runner        *Runner
	RemovedRunner string
	// Held is set if the description may have expired only because of an
	// outage of the store.
	Held bool
	// ZoneOut is a zone that was taken out, ReturnedZone one that was returned
	// to service.
	ZoneOut, ReturnedZone string
	// SeenAt is when this instance read the return of a zone.
	SeenAt time.Time
	// Instance is a registered instance. RemovedInstance is the name of one
	// whose registration has ended.
	Instance        *Instance
	RemovedInstance string
	// Quarantine is a quarantine in force. EndedQuarantine is the identifier of one
	// that has ended.
	Quarantine      *Quarantine
	EndedQuarantine string
	// RolloutOrder is an operator's order. WithdrawnRollout is the service of one that
	// was deleted, IgnoredRollout that of one that was replaced by an invalid order,
	// which leaves it in force.
	RolloutOrder                     *rollout.Order
	WithdrawnRollout, IgnoredRollout string
	// Versions is the record of the versions of a service. EndedVersions is the service of
	// one that was removed.
	Versions      *ServiceVersions
	EndedVersions string
	// Rollout is a decision on a service. EndedRollout is the service of one that was
	// deleted.
	Rollout      *rollout.State
	EndedRollout string
}

// Source reads the store.
type Source interface {
	// List returns all items of the store as changes, and a revision up to which
	// the list is complete.
	List(ctx context.Context) ([]Change, era.Revision, error)
	// Changes waits for changes after a revision, for at most wait, and returns
	// them with the revision up to which they are complete. It returns none if
	// the wait ends without changes.
	Changes(ctx context.Context, after era.Revision, wait time.Duration) ([]Change, era.Revision, error)
}

// with returns a copy of the snapshot with changes up to a revision applied.
// Changes that the snapshot already includes have no effect.
func (s *Snapshot) with(changes []Change, revision era.Revision) *Snapshot {
	next := &Snapshot{
		Table: s.Table, Revision: era.Max(s.Revision, revision),
		Runners: clone(s.Runners), Departed: s.Departed, Ended: clone(s.Ended), ZonesOut: clone(s.ZonesOut), CarriedZones: clone(s.CarriedZones), ReturnedZones: clone(s.ReturnedZones), Instances: clone(s.Instances),
		HeldRemovals: clone(s.HeldRemovals), Quarantines: clone(s.Quarantines),
		RolloutOrders: clone(s.RolloutOrders), Rollouts: clone(s.Rollouts), Versions: clone(s.Versions), EraSince: s.EraSince, Late: s.Late,
	}
	for _, c := range changes {
		next.apply(c)
		next.noteEnd(c)
	}
	return next
}

func clone[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

func (s *Snapshot) apply(c Change) {
	switch {
	case c.Table != nil:
		if s.Table == nil || c.Table.Version() > s.Table.Version() {
			s.Table = c.Table
		}
	case c.Runner != nil:
		s.applyRunner(c)
	case c.RemovedRunner != "":
		s.applyRunnerRemoval(c)
	case c.ZoneOut != "":
		s.ZonesOut[c.ZoneOut] = true
		delete(s.CarriedZones, c.ZoneOut)
	case c.ReturnedZone != "":
		delete(s.ZonesOut, c.ReturnedZone)
		delete(s.CarriedZones, c.ReturnedZone)
		s.ReturnedZones[c.ReturnedZone] = ZoneReturn{Revision: c.Revision, SeenAt: c.SeenAt}
	case c.Instance != nil:
		s.Instances[c.Instance.Name] = *c.Instance
	case c.RemovedInstance != "":
		delete(s.Instances, c.RemovedInstance)
	case c.Quarantine != nil:
		s.applyQuarantine(c)
	case c.EndedQuarantine != "":
		delete(s.Quarantines, c.EndedQuarantine)
	default:
		s.applyRollout(c)
		s.applyVersions(c)
	}
}

// applyVersions applies a change of a record of versions.
func (s *Snapshot) applyVersions(c Change) {
	switch {
	case c.Versions != nil:
		s.Versions[c.Versions.Service] = *c.Versions
	case c.EndedVersions != "":
		delete(s.Versions, c.EndedVersions)
	}
}

// applyRollout applies a change of an order or of a decision. Of two decisions on a
// service the one with the higher step is kept, and of two with the same step, the
// one that was written later.
func (s *Snapshot) applyRollout(c Change) {
	switch {
	case c.RolloutOrder != nil:
		next := *c.RolloutOrder
		if old := s.RolloutOrders[next.Service]; old.Revision.Before(next.Revision) {
			if old.Revision.Carried() && next.SameAs(old) {
				next.SeenAt = old.SeenAt // it was written again
			}
			s.RolloutOrders[next.Service] = next
		}
	case c.WithdrawnRollout != "":
		delete(s.RolloutOrders, c.WithdrawnRollout)
	case c.Rollout != nil:
		old, known := s.Rollouts[c.Rollout.Service]
		if !known || old.Step < c.Rollout.Step || (old.Step == c.Rollout.Step && old.Revision.Before(c.Rollout.Revision)) {
			s.Rollouts[c.Rollout.Service] = *c.Rollout
		}
	case c.EndedRollout != "":
		delete(s.Rollouts, c.EndedRollout)
	}
}

// maxQuarantines bounds the quarantines of a snapshot. Further ones are ignored.
const maxQuarantines = 256

func (s *Snapshot) applyQuarantine(c Change) {
	if _, known := s.Quarantines[c.Quarantine.ID]; known || len(s.Quarantines) < maxQuarantines {
		s.Quarantines[c.Quarantine.ID] = c.Quarantine
	}
}

// applyRunner sets a runner's description unless the known one is as new.
func (s *Snapshot) applyRunner(c Change) {
	id := c.Runner.ID
	if gone := s.Departed[id]; gone != nil && !c.Runner.newerThan(gone) {
		return
	}
	if old := s.Runners[id]; old != nil && (!old.Revision.Before(c.Revision) || old.supersedes(c.Runner)) {
		return
	}
	if s.HeldRemovals[id].Before(c.Revision) {
		s.Runners[id] = c.Runner
		delete(s.HeldRemovals, id)
	}
}

// applyRunnerRemoval removes a runner, or records the removal as held back if
// the description may only have expired. Removals that are not newer than the
// description have no effect.
func (s *Snapshot) applyRunnerRemoval(c Change) {
	old := s.Runners[c.RemovedRunner]
	switch {
	case old == nil || !old.Revision.Before(c.Revision):
		return
	case c.Held:
		s.HeldRemovals[c.RemovedRunner] = era.Max(s.HeldRemovals[c.RemovedRunner], c.Revision)
		return
	}
	delete(s.Runners, c.RemovedRunner)
	delete(s.HeldRemovals, c.RemovedRunner)
}
