package inventory

import (
	"context"
	"maps"
	"time"

	"cicadawell.dev/router/routing"
)

// Change is one change of what the store holds. It tells of one
// thing only.
type Change struct {
	Revision int64
	// Table is a new configuration.
	Table *routing.Table
	// Runner is a new description of a runner, RunnerGone the identifier of one
	// without any.
	Runner     *Runner
	RunnerGone string
	// Lapsed is set if the description may only have lapsed.
	Lapsed bool
	// ZoneOut is a zone that was taken out, ZoneBack one that was taken back.
	ZoneOut, ZoneBack string
	// SeenAt is when the return of a zone was read.
	SeenAt time.Time
	// Instance is a member of the fleet, InstanceGone the name of a former one.
	Instance     *Instance
	InstanceGone string
}

// Source reads the store.
type Source interface {
	// List returns all that the store holds, as changes, and a revision up to
	// which the list is complete.
	List(ctx context.Context) ([]Change, int64, error)
	// Changes returns the changes after a revision as soon as there are some,
	// or none after wait, and the revision up to which they are complete.
	Changes(ctx context.Context, after int64, wait time.Duration) ([]Change, int64, error)
}

// with returns the snapshot after some changes up to a revision. Changes that
// it already has make no difference.
func (s *Snapshot) with(changes []Change, revision int64) *Snapshot {
	next := &Snapshot{
		Table: s.Table, Revision: max(s.Revision, revision),
		Runners: clone(s.Runners), ZonesOut: clone(s.ZonesOut), ZonesBack: clone(s.ZonesBack), Instances: clone(s.Instances),
		Lapsed: clone(s.Lapsed),
	}
	for _, c := range changes {
		next.apply(c)
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
		s.describe(c)
	case c.RunnerGone != "":
		s.remove(c)
	case c.ZoneOut != "":
		s.ZonesOut[c.ZoneOut] = true
	case c.ZoneBack != "":
		delete(s.ZonesOut, c.ZoneBack)
		s.ZonesBack[c.ZoneBack] = Return{Revision: c.Revision, SeenAt: c.SeenAt}
	case c.Instance != nil:
		s.Instances[c.Instance.Name] = *c.Instance
	case c.InstanceGone != "":
		delete(s.Instances, c.InstanceGone)
	}
}

// describe takes a runner's description over, unless it is older than what is
// known.
func (s *Snapshot) describe(c Change) {
	id := c.Runner.ID
	if old := s.Runners[id]; old != nil && (old.Revision >= c.Revision || old.follows(c.Runner)) {
		return
	}
	if s.Lapsed[id] < c.Revision {
		s.Runners[id] = c.Runner
		delete(s.Lapsed, id)
	}
}

// remove takes a runner out, or notes that its description may have lapsed.
func (s *Snapshot) remove(c Change) {
	old := s.Runners[c.RunnerGone]
	switch {
	case old == nil || old.Revision >= c.Revision:
		return
	case c.Lapsed:
		s.Lapsed[c.RunnerGone] = max(s.Lapsed[c.RunnerGone], c.Revision)
		return
	}
	delete(s.Runners, c.RunnerGone)
	delete(s.Lapsed, c.RunnerGone)
}
