package roll

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// listing is the platform's list as it was read last.
type listing struct {
	mu    sync.Mutex
	peers []Peer
	at    time.Time
}

// listed returns the platform's list, at most listAge old, or what was read
// last when the list does not answer.
func (n *node) listed(ctx context.Context) []Peer {
	n.list.mu.Lock()
	defer n.list.mu.Unlock()
	now := n.clock.Now()
	if n.list.peers != nil && now.Sub(n.list.at) < n.cfg.listAge {
		return n.list.peers
	}
	call, cancel := context.WithTimeout(ctx, n.cfg.callTimeout)
	defer cancel()
	peers, err := n.fleet.Listed(call)
	n.list.at = now
	if err != nil {
		n.log.Debug("platform's list does not answer", "error", err)
		return n.list.peers
	}
	peers = slices.Clone(peers)
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	n.list.peers = peers
	return peers
}

// others returns the other listed instances in the order of their identifiers.
func (n *node) others(ctx context.Context) []Peer {
	return slices.DeleteFunc(slices.Clone(n.listed(ctx)), func(p Peer) bool { return p.ID == n.self.ID })
}

// watchers returns the instances that watch the store, a few in each zone, in
// an order that all instances share. This one counts as listed.
func (n *node) watchers(ctx context.Context) []Peer {
	all := append(n.others(ctx), n.self)
	slices.SortFunc(all, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	zones := map[string]int{}
	return slices.DeleteFunc(all, func(p Peer) bool {
		zones[p.Zone]++
		return zones[p.Zone] > n.cfg.watchersPerZone
	})
}

// watches reports whether this instance watches the store.
func (n *node) watches(ctx context.Context) bool {
	return slices.Contains(n.watchers(ctx), n.self)
}
