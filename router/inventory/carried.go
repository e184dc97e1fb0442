package inventory

import (
	"maps"
	"slices"
	"time"

	"cicadawell.dev/router/era"
	"cicadawell.dev/router/rollout"
)

// A store that comes back from a copy lacks what was written since. Those who wrote it write
// it again, which takes them a moment. What was known until then is carried into the new
// era, with a revision that any change of the era follows: a zone stays out, a quarantine
// stays in force. What the store hasn't shown after a period is dropped.
const (
	// carryRunnersFor is the time in which runners describe themselves again, and that of a
	// read.
	carryRunnersFor = maxRemovalGrace + 500*time.Millisecond
	// carryInstancesFor is the time in which instances register again: a lease with its
	// renewal.
	carryInstancesFor = 6 * time.Second
	// carryFor is the period for what operators order, and for what instances write under a
	// lease or after a failure. An order that is carried too long does less harm than one
	// that is dropped while it is in force.
	carryFor = 30 * time.Second
)

// itemKey names an item of the store.
type itemKey struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// The kinds of items that may be carried.
const (
	kindRunner     = "runner"
	kindZone       = "zone"
	kindInstance   = "instance"
	kindQuarantine = "quarantine"
	kindOrder      = "order"
	kindDecision   = "decision"
)

// ended returns the item that the change ends, or the zero key.
func (c Change) ended() itemKey {
	for _, key := range []itemKey{
		{kindZone, c.ReturnedZone}, {kindInstance, c.RemovedInstance}, {kindQuarantine, c.EndedQuarantine}, {kindOrder, c.WithdrawnRollout}, {kindDecision, c.EndedRollout},
	} {
		if key.Name != "" {
			return key
		}
	}
	if c.RemovedRunner != "" && !c.Held {
		return itemKey{kindRunner, c.RemovedRunner}
	}
	return itemKey{}
}

// noteEnd records what a change ends while items of an earlier era may be carried.
func (s *Snapshot) noteEnd(c Change) {
	if key := c.ended(); key != (itemKey{}) && !s.EraSince.IsZero() {
		s.Ended[key] = true
	}
}

// newerThan reports whether the description is a later one than another of the same
// identifier, as far as runners tell.
func (r *Runner) newerThan(other *Runner) bool {
	return r.Born != 0 && other.Born != 0 && (r.Born > other.Born || r.supersedes(other))
}

// enter returns the first snapshot of an era: s, which is what the store holds, without the
// runners that had departed, and what only old has. The era has been known since a time.
func (s *Snapshot) enter(old *Snapshot, departed map[string]*Runner, since time.Time) *Snapshot {
	next := s.with(nil, s.Revision)
	next.EraSince, next.Departed, next.Late = since, departed, false
	maps.DeleteFunc(next.Runners, func(id string, r *Runner) bool { return departed[id] != nil && !r.newerThan(departed[id]) })
	for id, r := range old.Runners {
		listed := next.Runners[id]
		if listed != nil && !r.newerThan(listed) {
			continue
		}
		carried := *r
		carried.Revision = era.CarriedInto(s.Revision.Era)
		if listed != nil {
			carried.Revision = listed.Revision
		}
		next.Runners[id] = &carried
	}
	for zone, back := range old.ReturnedZones {
		if _, known := next.ReturnedZones[zone]; !known && !next.ZonesOut[zone] {
			next.ReturnedZones[zone] = ZoneReturn{Revision: s.Revision, SeenAt: back.SeenAt}
		}
	}
	next.carry(old, func(era.Revision) bool { return true })
	return next
}

// carry adds what another snapshot has of an earlier era and s lacks, except for runners and
// for what has ended since. Of the items with a revision, only those whose revision is
// accepted are added.
func (s *Snapshot) carry(other *Snapshot, accept func(era.Revision) bool) {
	carried := era.CarriedInto(s.Revision.Era)
	if other.Table != nil && (s.Table == nil || other.Table.Version() > s.Table.Version()) {
		s.Table = other.Table
	}
	for zone := range other.ZonesOut {
		if !s.ZonesOut[zone] && !s.Ended[itemKey{kindZone, zone}] && (other.CarriedZones[zone] || other.Revision.Before(carried)) {
			s.ZonesOut[zone], s.CarriedZones[zone] = true, true
		}
	}
	carryItems(s.Ended, kindInstance, s.Instances, other.Instances, accept, func(i Instance) (Instance, era.Revision) {
		known := i.Revision
		i.Revision = carried
		return i, known
	})
	s.carryQuarantines(other, accept)
	carryItems(s.Ended, kindOrder, s.RolloutOrders, other.RolloutOrders, accept, func(o rollout.Order) (rollout.Order, era.Revision) {
		known := o.Revision
		o.Revision = carried
		return o, known
	})
	carryItems(s.Ended, kindDecision, s.Rollouts, other.Rollouts, accept, func(st rollout.State) (rollout.State, era.Revision) {
		known := st.Revision
		st.Revision = carried
		return st, known
	})
	for service, o := range other.RolloutOrders {
		if known := s.RolloutOrders[service]; known.SameAs(o) {
			known.SeenAt = o.SeenAt
			s.RolloutOrders[service] = known
		}
	}
}

// carryQuarantines is carry for quarantines, of which a snapshot has a bounded number.
func (s *Snapshot) carryQuarantines(other *Snapshot, accept func(era.Revision) bool) {
	carryItems(s.Ended, kindQuarantine, s.Quarantines, other.Quarantines, accept, func(q *Quarantine) (*Quarantine, era.Revision) {
		kept := *q
		kept.Revision = era.CarriedInto(s.Revision.Era)
		return &kept, q.Revision
	})
	maps.DeleteFunc(s.Quarantines, func(_ string, q *Quarantine) bool {
		return len(s.Quarantines) > maxQuarantines && q.Revision.Carried()
	})
}

// carryItems adds the items that only from has, if they haven't ended and their revisions are
// accepted. Of an item, carried returns what is added and its revision so far.
func carryItems[T any](ended map[itemKey]bool, kind string, to, from map[string]T, accept func(era.Revision) bool, carried func(T) (T, era.Revision)) {
	for key, item := range from {
		if _, known := to[key]; known || ended[itemKey{kind, key}] {
			continue
		}
		if kept, revision := carried(item); accept(revision) {
			to[key] = kept
		}
	}
}

// carrying reports whether items of an earlier era may still be carried at a time.
func (s *Snapshot) carrying(now time.Time) bool {
	return !s.EraSince.IsZero() && now.Sub(s.EraSince) < carryFor
}

// merge returns the snapshot with what another one of the same era carries and s lacks, and
// without what s carries although it has ended by the other one. departed are runners that are
// known to have left. It returns s itself if no item differs.
func (s *Snapshot) merge(other *Snapshot, departed map[string]*Runner, now time.Time) *Snapshot {
	if !s.carrying(now) && !other.carrying(now) {
		return s.withLater(other)
	}
	next := s.with(nil, s.Revision)
	maps.Copy(next.Ended, other.Ended)
	next.Late = s.Late && other.late()
	if next.Departed == nil {
		next.Departed = other.Departed
	}
	later := other.carrying(now) && next.take(other)
	next = next.with(next.ends(func(item carriedItem) bool {
		gone := departed[item.key.Name]
		left := item.key.Kind == kindRunner && gone != nil && !next.Runners[item.key.Name].newerThan(gone)
		return left || next.Ended[item.key] || item.expired(next, now)
	}), next.Revision)
	if !later && next.alike(s) {
		return s
	}
	return next
}

// alike reports whether a snapshot that items were added to, or taken from, has as many as
// before, and the same configuration.
func (s *Snapshot) alike(before *Snapshot) bool {
	return len(s.Ended) == len(before.Ended) && s.items() == before.items() && s.Table == before.Table && s.Late == before.Late
}

// withLater returns the snapshot with the configuration of another one of the same era if that
// is a later version, or s itself.
func (s *Snapshot) withLater(other *Snapshot) *Snapshot {
	next := s.withTableOf(other)
	if s.Late == (s.Late && other.late()) {
		return next
	}
	kept := *next
	kept.Late = false
	return &kept
}

// withTableOf returns the snapshot with the configuration of another one, also of an earlier
// era, if that is a later version, or s itself. A store without eras loses no version.
func (s *Snapshot) withTableOf(other *Snapshot) *Snapshot {
	if s.Revision.Era == 0 || other.version() <= s.version() {
		return s
	}
	next := *s
	next.Table = other.Table
	return &next
}

// take adds what another snapshot carries, and its descriptions of runners that are later ones
// at the same revision. It reports whether there is such a description.
func (s *Snapshot) take(other *Snapshot) (later bool) {
	if s.EraSince.IsZero() || other.EraSince.Before(s.EraSince) {
		s.EraSince = other.EraSince
	}
	s.carry(other, era.Revision.Carried)
	for id, r := range other.Runners {
		switch known := s.Runners[id]; {
		case known == nil && r.Revision.Carried():
			s.Runners[id] = r
		case known != nil && known.Revision == r.Revision && r.newerThan(known):
			s.Runners[id], later = r, true
		}
	}
	return later
}

// items returns the number of items that may be carried.
func (s *Snapshot) items() int {
	return len(s.Runners) + len(s.ZonesOut) + len(s.Instances) + len(s.Quarantines) + len(s.RolloutOrders) + len(s.Rollouts)
}

// carriedItem is an item that is carried.
type carriedItem struct {
	key itemKey
	// period is how long it is carried, and end the change that ends it.
	period time.Duration
	end    Change
}

// expired reports whether the item's period is over.
func (i carriedItem) expired(s *Snapshot, now time.Time) bool {
	return now.Sub(s.EraSince) >= i.period
}

// ends returns the ends of the carried items that are chosen.
func (s *Snapshot) ends(chosen func(carriedItem) bool) []Change {
	if s.EraSince.IsZero() {
		return nil
	}
	var out []Change
	end := func(kind string, period time.Duration, names []string, ended func(name string) Change) {
		for _, name := range names {
			item := carriedItem{key: itemKey{kind, name}, period: period, end: ended(name)}
			item.end.Revision = s.Revision
			if chosen(item) {
				out = append(out, item.end)
			}
		}
	}
	end(kindRunner, carryRunnersFor, carriedNames(s.Runners, func(r *Runner) era.Revision { return r.Revision }), func(id string) Change { return Change{RemovedRunner: id} })
	end(kindInstance, carryInstancesFor, carriedNames(s.Instances, func(i Instance) era.Revision { return i.Revision }), func(name string) Change { return Change{RemovedInstance: name} })
	end(kindZone, carryFor, slices.Sorted(maps.Keys(s.CarriedZones)), func(zone string) Change { return Change{ReturnedZone: zone, SeenAt: s.EraSince.Add(carryFor)} })
	end(kindQuarantine, carryFor, carriedNames(s.Quarantines, func(q *Quarantine) era.Revision { return q.Revision }), func(id string) Change { return Change{EndedQuarantine: id} })
	end(kindOrder, carryFor, carriedNames(s.RolloutOrders, func(o rollout.Order) era.Revision { return o.Revision }), func(service string) Change { return Change{WithdrawnRollout: service} })
	end(kindDecision, carryFor, carriedNames(s.Rollouts, func(st rollout.State) era.Revision { return st.Revision }), func(service string) Change { return Change{EndedRollout: service} })
	return out
}

// carriedNames returns the keys of the items that are carried.
func carriedNames[T any](items map[string]T, revision func(T) era.Revision) []string {
	var out []string
	for name, item := range items {
		if revision(item).Carried() {
			out = append(out, name)
		}
	}
	return out
}

// dropExpired drops the carried items whose period is over. The caller holds mu.
func (f *follower) dropExpired(now time.Time) {
	old := f.current.Load()
	if old.EraSince.IsZero() {
		return
	}
	ends := old.ends(func(item carriedItem) bool { return item.expired(old, now) })
	if over := !old.carrying(now); len(ends) > 0 || over {
		f.logChanges(old, ends)
		next := old.with(ends, old.Revision)
		if over {
			next.EraSince, next.Departed, next.Ended = time.Time{}, nil, nil
		}
		f.current.Advance(next)
	}
}

// enterEra replaces the view by what the store holds in a later era. Marks of other
// instances are for changes that the store may lack, so that they get a snapshot. The caller
// holds mu.
func (f *follower) enterEra(old, listed *Snapshot, now time.Time) {
	since := now
	if !listed.EraSince.IsZero() {
		since = listed.EraSince
	}
	next := listed.enter(old, f.departures.since(now), since)
	message := "store came back from a copy"
	if old.Revision.Era == 0 {
		message = "store states its era"
	}
	f.log.Warn(message, "era", next.Revision.Era, "revision", next.Revision.Number, "was", old.Revision.Era, "known", old.Revision.Number,
		"viewMillis", f.current.Age().Milliseconds(), "runnersListed", len(listed.Runners), "runners", len(next.Runners), "departed", len(next.Departed),
		"zonesCarried", len(next.CarriedZones), "instancesCarried", len(next.Instances)-len(listed.Instances),
		"quarantinesCarried", len(next.Quarantines)-len(listed.Quarantines), "ordersCarried", len(next.RolloutOrders)-len(listed.RolloutOrders))
	f.history.restart()
	f.current.Advance(next)
}
