// Package owner assigns each key, such as a service whose pieces are batched,
// to one instance, its owner, which makes the decisions on that key for the
// whole fleet. All instances choose the same owner as long as they see the same
// instances. While their views differ, a key may have two owners, so only keys
// for which that is harmless may have an owner.
package owner

import (
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/shard"
)

// unavailableFor is how long an instance that didn't answer is skipped. It is
// longer than the registration of a lost instance lasts.
const unavailableFor = 5 * time.Second

// Finder finds the owners of keys.
type Finder interface {
	// Of returns the owner of a key, or "" if no instance is available.
	Of(key string) string
	// OfShard returns the owner of a key for a shard. The owner of a zone's shard is
	// an instance in that zone as long as one is available there.
	OfShard(key string, s shard.Shard) string
	// Ranked returns the owner of a key and its successors, in order: n instances
	// in all, or fewer if fewer are available.
	Ranked(key string, n int) []string
	// MarkUnavailable marks an instance as unavailable because it didn't answer.
	// Its successors take over, and the functions that watch it are called.
	MarkUnavailable(name string)
	// Watch calls lost once when an instance is marked as unavailable, unless stop
	// is called before.
	Watch(name string, lost func()) (stop func())
}

// Option changes a default of a finder.
type Option func(*finder)

// Within restricts owners to the instances of an availability zone.
func Within(zone string) Option { return func(f *finder) { f.zone = zone } }

// WithWeights sets whether instances are chosen by their CPU shares. The default is
// true; otherwise all have the same weight.
func WithWeights(on bool) Option { return func(f *finder) { f.weighted = on } }

// NewFinder returns a finder over the registered instances.
func NewFinder(clk clock.Clock, current *inventory.Current, opts ...Option) Finder {
	f := &finder{clk: clk, current: current, weighted: true, unavailable: make(map[string]unavailability), watches: make(map[string]map[*func()]struct{})}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

type finder struct {
	clk     clock.Clock
	current *inventory.Current
	// zone is the availability zone of all owners, or "" for any zone.
	zone string
	// weighted is whether instances are chosen by their CPU shares.
	weighted bool

	mu sync.Mutex
	// members has those of snapshot, by zone.
	members  map[string][]member
	snapshot *inventory.Snapshot
	// unavailable has the instances that didn't answer, by name.
	unavailable map[string]unavailability
	// watches has the functions to call for each instance, by name.
	watches map[string]map[*func()]struct{}
}

// unavailability is the period in which an instance that didn't answer is
// skipped. It ends early when the instance registers again, which changes its
// revision.
type unavailability struct {
	until    time.Time
	revision era.Revision
}

func (f *finder) Of(key string) string { return f.first(key, f.zone) }

func (f *finder) OfShard(key string, s shard.Shard) string {
	key += "/" + s.String()
	if s.Zone != "" {
		if name := f.first(key, s.Zone); name != "" {
			return name
		}
	}
	return f.first(key, f.zone)
}

// first returns the available instance of a zone with the highest score.
func (f *finder) first(key, zone string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The best of all instances, and of those that aren't weak.
	var best, strong struct {
		name  string
		score score
		count int
	}
	now := f.clk.Now()
	for _, m := range f.membersOf(zone) {
		if !f.available(m, now) {
			continue
		}
		s := newScore(key, m)
		if best.count++; best.count == 1 || s.exceeds(best.score) {
			best.name, best.score = m.Name, s
		}
		if m.weak {
			continue
		}
		if strong.count++; strong.count == 1 || s.exceeds(strong.score) {
			strong.name, strong.score = m.Name, s
		}
	}
	if strong.count >= enoughOwners {
		return strong.name
	}
	return best.name
}

// Ranked ranks weak instances last if there are enough others.
func (f *finder) Ranked(key string, n int) []string {
	type ranked struct {
		member
		score score
	}
	var all []ranked
	strong := 0
	f.mu.Lock()
	now := f.clk.Now()
	for _, m := range f.membersOf(f.zone) {
		if !f.available(m, now) {
			continue
		}
		all = append(all, ranked{member: m, score: newScore(key, m)})
		if !m.weak {
			strong++
		}
	}
	f.mu.Unlock()
	slices.SortFunc(all, func(a, b ranked) int {
		if strong >= enoughOwners && a.weak != b.weak {
			if a.weak {
				return 1
			}
			return -1
		}
		if a.score.exceeds(b.score) {
			return -1
		}
		return 1
	})
	all = all[:min(n, len(all))]
	names := make([]string, len(all))
	for i, r := range all {
		names[i] = r.Name
	}
	return names
}

// membersOf returns the instances of a zone, or of all zones if it is empty. The
// caller holds mu.
func (f *finder) membersOf(zone string) []member {
	if s := f.current.Load(); s != f.snapshot {
		f.snapshot, f.members = s, newMembers(s.Instances, f.weighted)
	}
	return f.members[zone]
}

// available reports whether an instance answered when it was last asked. The caller
// holds mu.
func (f *finder) available(m member, now time.Time) bool {
	a, ok := f.unavailable[m.Name]
	return !ok || !now.Before(a.until) || a.revision != m.Revision
}

func (f *finder) MarkUnavailable(name string) {
	revision := f.current.Load().Instances[name].Revision
	f.mu.Lock()
	f.unavailable[name] = unavailability{until: f.clk.Now().Add(unavailableFor), revision: revision}
	watchers := f.watches[name]
	delete(f.watches, name)
	f.mu.Unlock()
	for lost := range watchers {
		(*lost)()
	}
}

func (f *finder) Watch(name string, lost func()) (stop func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watches[name] == nil {
		f.watches[name] = make(map[*func()]struct{})
	}
	f.watches[name][&lost] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.watches[name], &lost)
		if len(f.watches[name]) == 0 {
			delete(f.watches, name)
		}
	}
}
