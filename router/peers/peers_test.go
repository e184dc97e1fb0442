package peers_test

import (
	"context"
	"fmt"
	"testing"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/peers"
	"github.com/matryer/is"
)

type fixed []peers.Peer

func (f fixed) Listed(context.Context) ([]peers.Peer, error) { return f, nil }

func fleetOf(n int) fixed {
	var all fixed
	for i := range n {
		all = append(all, peers.Peer{ID: fmt.Sprintf("i%03d", i), Zone: fmt.Sprintf("z%02d", i%17)})
	}
	return all
}

// TestNewsReachAll follows one piece of news that is pulled from partner to
// partner.
func TestNewsReachAll(t *testing.T) {
	is := is.New(t)
	for _, size := range []struct{ instances, turns int }{{2, 1}, {5, 3}, {50, 6}, {450, 9}} {
		all := fleetOf(size.instances)
		knows := map[string]bool{"i000": true}
		for turn := range size.turns {
			heard := map[string]bool{}
			asked := map[string]int{}
			for _, p := range all {
				to, ok := peers.New(p, all, clock.System()).Partner(context.Background(), turn)
				is.True(ok)
				is.True(to != p.ID)
				asked[to]++
				is.Equal(asked[to], 1) // nobody is asked twice in a turn
				heard[p.ID] = knows[p.ID] || knows[to]
			}
			knows = heard
		}
		for _, p := range all {
			is.True(knows[p.ID]) // in a number of turns that grows with the logarithm
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
