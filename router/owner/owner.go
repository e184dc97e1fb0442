// Package owner finds the instance that decides for all on one matter, such as
// the batches of a service. All instances find the same one as long as they know
// the same instances; where they don't, two decide for a while, so that only
// matters may have owners where that does no harm.
package owner

import (
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/inventory"
	"github.com/cespare/xxhash/v2"
)

// awayFor is how long an instance that didn't answer isn't asked: long enough
// that its registration ends if it is lost.
const awayFor = 3 * time.Second

// Finder finds owners.
type Finder interface {
	// Of returns the owner of a matter, or "" if no instance is known that
	// answers.
	Of(matter string) string
	// Away notes that an instance didn't answer. Its successors stand in.
	Away(name string)
}

// NewFinder returns a finder over the instances that are registered.
func NewFinder(clk clock.Clock, current *inventory.Current) Finder {
	return &finder{clk: clk, current: current, away: make(map[string]time.Time)}
}

type finder struct {
	clk     clock.Clock
	current *inventory.Current

	mu sync.Mutex
	// away has the instances that didn't answer, with the end of their rest.
	away map[string]time.Time
}

func (f *finder) Of(matter string) string {
	known := f.current.Load().Instances
	now := f.clk.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	best, top := "", uint64(0)
	for name := range known {
		if now.Before(f.away[name]) {
			continue
		}
		if h := xxhash.Sum64String(matter + "/" + name); best == "" || h > top {
			best, top = name, h
		}
	}
	return best
}

func (f *finder) Away(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away[name] = f.clk.Now().Add(awayFor)
}
