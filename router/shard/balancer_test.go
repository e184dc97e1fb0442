package shard_test

import (
	"fmt"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/shard"
	"github.com/matryer/is"
)

func newBalancer(t *testing.T, f fleet, opts ...shard.Option) (shard.Balancer, *clock.Manual) {
	t.Helper()
	clk := clock.NewManual(time.Unix(1000, 0))
	current := inventory.NewCurrent(clk)
	b := shard.NewBalancer(clk, current, opts...)
	current.Advance(f.snapshot(t))
	return b, clk
}

func TestCallsLeaveTheirZoneWhenWaitsOutweighIt(t *testing.T) {
	is := is.New(t)
	b, clk := newBalancer(t, large())
	c := shard.Choice{Key: "part", Services: []string{"s"}, MoveCost: 100 * time.Millisecond}
	home := b.Choose(c)
	is.True(home != "")
	b.Report(shard.Shard{Service: "s", Zone: home}, 90*time.Millisecond)
	is.Equal(b.Choose(c), home) // reading the prompt again takes longer
	b.Report(shard.Shard{Service: "s", Zone: home}, 150*time.Millisecond)
	second := b.Choose(c)
	is.True(second != home)
	is.Equal(second, b.Layout().RankZones("part", []string{"s"})[1])
	clk.Advance(time.Second)
	is.Equal(b.Choose(c), home) // the report is outdated
	c.Excluded = map[string]bool{home: true}
	is.Equal(b.Choose(c), second)
}

func TestCallsOfUndividedServicesHaveNoZone(t *testing.T) {
	is := is.New(t)
	b, _ := newBalancer(t, fleet{"s": even(2, 2)})
	is.Equal(b.Choose(shard.Choice{Key: "part", Services: []string{"s"}}), "")
	b, _ = newBalancer(t, large(), shard.WithZones(false))
	is.Equal(b.Choose(shard.Choice{Key: "part", Services: []string{"s"}}), "")
}

// TestPopularKeyIsSpread has one key make up a third of all calls, more than the
// runners of one zone bear, with queues that grow and drain by what was chosen.
func TestPopularKeyIsSpread(t *testing.T) {
	is := is.New(t)
	b, clk := newBalancer(t, large())
	const (
		step     = 10 * time.Millisecond
		perCall  = 12 * time.Millisecond // how much one call adds to the wait of its zone
		duration = 10 * time.Second
	)
	waits := make(map[string]time.Duration)
	longest, n := time.Duration(0), 0
	for at := time.Duration(0); at < duration; at += step {
		for range 4 { // 80% of what all zones bear
			key := fmt.Sprint("part", n)
			if n%3 == 0 {
				key = "popular"
			}
			n++
			zone := b.Choose(shard.Choice{Key: key, Services: []string{"s"}, MoveCost: 100 * time.Millisecond})
			waits[zone] += perCall
			longest = max(longest, waits[zone])
			b.Report(shard.Shard{Service: "s", Zone: zone}, waits[zone])
		}
		for zone := range waits {
			waits[zone] = max(0, waits[zone]-step)
		}
		clk.Advance(step)
	}
	is.True(longest < 300*time.Millisecond)
}
