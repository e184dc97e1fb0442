package peers_test

import (
	"context"
	"fmt"
	"testing"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/peers"
	"github.com/matryer/is"
)

type fixedList []peers.Peer

func (f fixedList) List(context.Context) ([]peers.Peer, error) { return f, nil }

func fleetOf(n int) fixedList {
	var all fixedList
	for i := range n {
		all = append(all, peers.Peer{ID: fmt.Sprintf("i%03d", i), Zone: fmt.Sprintf("z%02d", i%17)})
	}
	return all
}

// TestInformationReachesAllInstances checks that information known to one instance reaches all
// others in a logarithmic number of rounds, with each instance asking its
// gossip peer.
func TestInformationReachesAllInstances(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ instances, rounds int }{{2, 1}, {5, 3}, {50, 6}, {450, 9}} {
		all := fleetOf(c.instances)
		informed := map[string]bool{"i000": true}
		for round := range c.rounds {
			next := map[string]bool{}
			asked := map[string]int{}
			for _, p := range all {
				to, ok := peers.New(p, all, clock.System()).GossipPeer(context.Background(), round)
				is.True(ok)
				is.True(to != p.ID)
				asked[to]++
				is.Equal(asked[to], 1) // no instance is asked twice in a round
				next[p.ID] = informed[p.ID] || informed[to]
			}
			informed = next
		}
		for _, p := range all {
			is.True(informed[p.ID]) // in a logarithmic number of rounds
		}
	}
}

func TestWatchersDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{100, 450} {
		all := fleetOf(n)
		is.Equal(len(peers.New(all[0], all, clock.System()).Watchers(context.Background())), 17*peers.WatchersPerZone)
	}
}
