package target

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/inventory"
)

// Set has the targets of all services.
type Set interface {
	// Update follows a newer snapshot.
	Update(s *inventory.Snapshot)
	// Usable returns the targets of a service that take new calls.
	Usable(service string) []*Target
	// Find returns the target of a runner, or nil.
	Find(id string) *Target
	// Permit reports whether a target may get one more call now. For a cold one
	// it takes the permit.
	Permit(t *Target) bool
	// Plain chooses a target for one more call of a service, or nil. Those in
	// avoid were tried already.
	Plain(service, zone string, avoid []*Target) *Target
	// Choose returns the target of a service that costs least, those that failed
	// last, or nil. Of a cold one the permit is taken if permit is set.
	Choose(service string, avoid []*Target, permit bool, cost func(*Target) time.Duration) *Target
	// MayUse reports whether the target still takes new calls.
	MayUse(t *Target) bool
}

// ColdRate returns how many calls a second this instance may send to a cold
// runner that bears perSecond from all instances.
type ColdRate func(runner string, perSecond float64) float64

func (s *set) Permit(t *Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.mayCall(s.view.Load(), t, s.clk.Now())
}

// Option changes a default of a set.
type Option func(*set)

// WithSetAside says whether runners that fail are left alone for a while.
func WithSetAside(on bool) Option { return func(s *set) { s.setAside = on } }

// NewSet returns an empty set. Runners describe themselves anew within lag after
// something has changed.
func NewSet(clk clock.Clock, rate ColdRate, lag time.Duration, opts ...Option) Set {
	s := &set{clk: clk, rate: rate, lag: lag, setAside: true}
	for _, opt := range opts {
		opt(s)
	}
	s.view.Store(&view{snapshot: &inventory.Snapshot{}})
	return s
}

type set struct {
	clk  clock.Clock
	rate ColdRate
	lag  time.Duration
	// setAside is whether runners that fail are left alone for a while.
	setAside bool
	// mu is held by Update; readers use view alone.
	mu   sync.Mutex
	view atomic.Pointer[view]
}

// view is replaced as a whole.
type view struct {
	snapshot *inventory.Snapshot
	all      map[string]*Target
	usable   map[string][]*Target
}

func (s *set) Update(next *inventory.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	v := &view{snapshot: next, all: make(map[string]*Target, len(next.Runners)), usable: make(map[string][]*Target)}
	for id, r := range next.Runners {
		t := old.all[id]
		if t == nil || t.runner.Born != r.Born || t.runner.Address != r.Address {
			t = &Target{runner: r}
		}
		t.mu.Lock()
		t.runner = r
		t.mu.Unlock()
		v.all[id] = t
		if !r.Draining && !next.ZonesOut[r.Zone] {
			v.usable[r.Service] = append(v.usable[r.Service], t)
		}
	}
	s.view.Store(v)
}

func (s *set) Usable(service string) []*Target { return s.view.Load().usable[service] }

func (s *set) MayUse(t *Target) bool { return slices.Contains(s.Usable(t.Runner().Service), t) }

func (s *set) Find(id string) *Target { return s.view.Load().all[id] }

// mayCall reports whether a cold target may get one more call, and takes the
// permit for it. Warm targets always may. The caller holds the target's mu.
func (s *set) mayCall(v *view, t *Target, now time.Time) bool {
	if !t.coldAt(now, v.snapshot.ZonesBack[t.runner.Zone], s.lag) {
		return true
	}
	svc := v.snapshot.Table.Service(t.runner.Service)
	if svc == nil || svc.ColdPerSecond <= 0 {
		return true
	}
	return t.cold.take(now, s.rate(t.runner.ID, svc.ColdPerSecond))
}
