// Package owner finds the instance that decides for all on one matter, such as
// the batches of a service. All instances find the same one as long as they know
// the same instances; where they don't, two decide for a while, so that only
// matters may have owners where that does no harm.
package owner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/inventory"
	"github.com/cespare/xxhash/v2"
)

// awayFor is how long an instance that didn't answer isn't asked: longer than
// its registration lasts if it is lost.
const awayFor = 5 * time.Second

// Finder finds owners.
type Finder interface {
	// Of returns the owner of a matter, or "" if no instance is known that
	// answers.
	Of(matter string) string
	// First returns the first n instances in the order in which they would own a
	// matter, or fewer if fewer answer.
	First(matter string, n int) []string
	// Away notes that an instance didn't answer. Its successors stand in, and
	// what waits for it is told.
	Away(name string)
	// Watch calls lost once when an instance is noted as away, until stop.
	Watch(name string, lost func()) (stop func())
}

// Option changes a default of a finder.
type Option func(*finder)

// Within lets only the instances of an availability zone be owners.
func Within(zone string) Option { return func(f *finder) { f.zone = zone } }

// NewFinder returns a finder over the instances that are registered.
func NewFinder(clk clock.Clock, current *inventory.Current, opts ...Option) Finder {
	f := &finder{clk: clk, current: current, away: make(map[string]absence), watches: make(map[string]map[*func()]struct{})}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

type finder struct {
	clk     clock.Clock
	current *inventory.Current
	// zone is that of all owners, or "" if they may be anywhere.
	zone string

	mu sync.Mutex
	// away has the instances that didn't answer.
	away map[string]absence
	// watches has those that wait for each instance.
	watches map[string]map[*func()]struct{}
}

// absence is the rest of an instance that didn't answer. It ends early when the
// instance registers anew.
type absence struct {
	until    time.Time
	revision int64
}

func (f *finder) Of(matter string) string {
	best, top := "", uint64(0)
	f.answering(func(name string) {
		if h := weight(matter, name); best == "" || h > top {
			best, top = name, h
		}
	})
	return best
}

func (f *finder) First(matter string, n int) []string {
	var all []string
	f.answering(func(name string) { all = append(all, name) })
	slices.SortFunc(all, func(a, b string) int { return cmp.Compare(weight(matter, b), weight(matter, a)) })
	return all[:min(n, len(all))]
}

// weight orders instances for a matter.
func weight(matter, name string) uint64 { return xxhash.Sum64String(matter + "/" + name) }

// answering calls visit with each instance that may be an owner.
func (f *finder) answering(visit func(name string)) {
	known := f.current.Load().Instances
	now := f.clk.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, i := range known {
		if f.zone != "" && i.Zone != f.zone {
			continue
		}
		if a, ok := f.away[name]; ok && now.Before(a.until) && a.revision == i.Revision {
			continue
		}
		visit(name)
	}
}

func (f *finder) Away(name string) {
	revision := f.current.Load().Instances[name].Revision
	f.mu.Lock()
	f.away[name] = absence{until: f.clk.Now().Add(awayFor), revision: revision}
	waiting := f.watches[name]
	delete(f.watches, name)
	f.mu.Unlock()
	for lost := range waiting {
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
