// Package peers tells which other instances to speak with: the platform's
// lagging list, the few instances of each zone that watch the store, and a
// partner for each exchange.
package peers

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"github.com/cespare/xxhash/v2"
)

// Peer is an instance of the platform's list.
type Peer struct {
	ID   string
	Zone string
}

// Lister reads the platform's list of instances.
type Lister interface {
	// Listed returns the live and the leaving instances of the platform's
	// list, this one included. The list lags.
	Listed(ctx context.Context) ([]Peer, error)
}

// Defaults of a view.
const (
	// maxAge is how old the list may be.
	maxAge = 5 * time.Second
	// timeout bounds the reading of the list.
	timeout = time.Second
	// WatchersPerZone is how many instances of a zone watch the store.
	WatchersPerZone = 2
)

// View is the platform's list as this instance read it last.
type View struct {
	self   Peer
	lister Lister
	clock  clock.Clock

	mu sync.Mutex
	// rows are in the order of their identifiers.
	rows []Peer
	at   time.Time
}

// New returns the view of the instance self.
func New(self Peer, l Lister, c clock.Clock) *View {
	return &View{self: self, lister: l, clock: c}
}

// Self returns this instance.
func (v *View) Self() Peer { return v.self }

// Others returns the other listed instances in the order of their identifiers.
// While the list does not answer they are those read last.
func (v *View) Others(ctx context.Context) []Peer {
	return slices.DeleteFunc(slices.Clone(v.listed(ctx)), func(p Peer) bool { return p.ID == v.self.ID })
}

func (v *View) listed(ctx context.Context) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	if v.rows != nil && now.Sub(v.at) < maxAge {
		return v.rows
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rows, err := v.lister.Listed(call)
	v.at = now
	if err != nil {
		return v.rows
	}
	rows = slices.Clone(rows)
	slices.SortFunc(rows, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	v.rows = rows
	return rows
}

// Watchers returns the instances that watch the store, a few in each zone, in
// an order that all instances share. This one counts as listed.
func (v *View) Watchers(ctx context.Context) []Peer {
	all := append(v.Others(ctx), v.self)
	slices.SortFunc(all, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	zones := map[string]int{}
	return slices.DeleteFunc(all, func(p Peer) bool {
		zones[p.Zone]++
		return zones[p.Zone] > WatchersPerZone
	})
}

// Rank returns this instance's place among the watchers; ok is false when it
// is none of them.
func (v *View) Rank(ctx context.Context) (rank int, ok bool) {
	rank = slices.Index(v.Watchers(ctx), v.self)
	return rank, rank >= 0
}

// Partner returns whom this instance asks in a turn. Distances double from
// turn to turn, so that news reach all in a number of turns that grows with the
// logarithm of the fleet, and each instance is asked once in a turn.
func (v *View) Partner(ctx context.Context, turn int) (string, bool) {
	others := v.Others(ctx)
	n := len(others)
	if n == 0 {
		return "", false
	}
	place := 0
	for place < n && others[place].ID < v.self.ID {
		place++
	}
	steps := 0
	for 1<<steps <= n {
		steps++
	}
	distance := 1 << (turn % steps)
	return others[(place+distance-1)%n].ID, true
}
