// Package peers selects the instances that an instance communicates with, from
// the platform's list: the few watchers of the store in each zone, and the
// gossip peer for each round of an exchange. The list lags behind the fleet.
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

// Peer is an instance in the platform's list.
type Peer struct {
	ID   string
	Zone string
}

// Lister reads the platform's list of instances.
type Lister interface {
	// List returns the live and the leaving instances, including this one. The
	// list lags behind the fleet.
	List(ctx context.Context) ([]Peer, error)
}

// Defaults of a view.
const (
	// maxAge is the age at which the list is read again.
	maxAge = 5 * time.Second
	// timeout bounds one read of the list.
	timeout = time.Second
	// WatchersPerZone is the number of instances of a zone that watch the store.
	WatchersPerZone = 2
)

// View is the platform's list as last read by this instance.
type View struct {
	self   Peer
	lister Lister
	clock  clock.Clock

	mu sync.Mutex
	// peers is sorted by identifier.
	peers []Peer
	// readAt is the time of the last read, successful or not.
	readAt time.Time
}

// New returns the view of the instance self.
func New(self Peer, l Lister, c clock.Clock) *View {
	return &View{self: self, lister: l, clock: c}
}

// Self returns this instance.
func (v *View) Self() Peer { return v.self }

// Others returns the other listed instances, sorted by identifier. If the list
// can't be read, it returns those of the last successful read.
func (v *View) Others(ctx context.Context) []Peer {
	return slices.DeleteFunc(slices.Clone(v.list(ctx)), func(p Peer) bool { return p.ID == v.self.ID })
}

func (v *View) list(ctx context.Context) []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	if v.peers != nil && now.Sub(v.readAt) < maxAge {
		return v.peers
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rows, err := v.lister.List(call)
	v.readAt = now
	if err != nil {
		return v.peers
	}
	rows = slices.Clone(rows)
	slices.SortFunc(rows, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	v.peers = rows
	return rows
}

// Watchers returns the instances that watch the store, at most WatchersPerZone
// in each zone, in the same order on all instances. This instance counts as
// listed.
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

// Rank returns this instance's index among the watchers; ok is false if it is
// not a watcher.
func (v *View) Rank(ctx context.Context) (rank int, ok bool) {
	rank = slices.Index(v.Watchers(ctx), v.self)
	return rank, rank >= 0
}

// GossipPeer returns the instance to ask in a round of the exchange. Its distance
// in the sorted list doubles with each round and then starts at 1 again, so that
// information reaches all instances in a number of rounds that is logarithmic in
// the size of the fleet. Each instance is asked once per round.
func (v *View) GossipPeer(ctx context.Context, round int) (string, bool) {
	others := v.Others(ctx)
	n := len(others)
	if n == 0 {
		return "", false
	}
	index := 0
	for index < n && others[index].ID < v.self.ID {
		index++
	}
	steps := 0
	for 1<<steps <= n {
		steps++
	}
	distance := 1 << (round % steps)
	return others[(index+distance-1)%n].ID, true
}
