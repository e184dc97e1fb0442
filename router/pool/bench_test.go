//go:build !race

package pool

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/runnerapi"
	"github.com/matryer/is"
)

const benchTeams = 41_000

// benchPools returns pools of n warm runners and the names of the teams.
func benchPools(n int) (Pools, []string) {
	p := New(clock.System())
	runners := makeRunners(n, 64, 8)
	t := singleInstance(runners)
	t.AttemptTimeout = time.Nanosecond
	for i := range 450 {
		t.Instances = append(t.Instances, fmt.Sprintf("instance-%03d", i))
	}
	p.Update(t)
	warmAll(p, runners)
	// Two rounds of results complete the ramps of the limits.
	for range 64 * 4 {
		pl, err := p.Acquire(context.Background(), benchRequest(p, "warm"))
		if err == nil {
			pl.Release(Result{Ending: Completed, Latency: time.Millisecond, Load: &runnerapi.Load{}})
		}
	}
	teams := make([]string, benchTeams)
	for i := range teams {
		teams[i] = fmt.Sprintf("team-%05d", i)
	}
	return p, teams
}

func benchRequest(p Pools, team string) Request {
	return Request{
		Service: "generate", Model: "m", Team: team, Paying: true,
		Deadline: p.(*pools).clk.Now().Add(4 * time.Second),
	}
}

// decide acquires a slot and gives it back.
func decide(p Pools, req Request) error {
	pl, err := p.Acquire(context.Background(), req)
	if err != nil {
		return err
	}
	pl.Release(Result{Ending: Unsent})
	return nil
}

func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{15, 150, 1500} {
		for _, kind := range []string{"paying", "free", "prefix"} {
			b.Run(fmt.Sprintf("runners=%d/%s", n, kind), func(b *testing.B) {
				p, teams := benchPools(n)
				req := benchRequest(p, "")
				req.Deadline = req.Deadline.Add(time.Hour)
				req.Paying = kind != "free"
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					req.Team = teams[i%benchTeams]
					if kind == "prefix" {
						req.Affinity = uint64(i) | 1
					}
					if err := decide(p, req); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func BenchmarkAcquireParallel(b *testing.B) {
	p, teams := benchPools(1500)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		req := benchRequest(p, "")
		req.Deadline = req.Deadline.Add(time.Hour)
		for i := 0; pb.Next(); i++ {
			req.Team = teams[i%benchTeams]
			if err := decide(p, req); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{15, 150, 1500} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			p := New(clock.System())
			t := singleInstance(makeRunners(n, 64, 8))
			for i := range 450 {
				t.Instances = append(t.Instances, fmt.Sprintf("instance-%03d", i))
			}
			b.ReportAllocs()
			for b.Loop() {
				p.Update(t)
			}
		})
	}
}

// TestDecisionAllocationsBound checks that a decision needs at most one
// allocation, for paying and for free work.
func TestDecisionAllocationsBound(t *testing.T) {
	is := is.New(t)
	p, teams := benchPools(1500)
	for _, isPaying := range []bool{true, false} {
		i := 0
		n := testing.AllocsPerRun(2000, func() {
			req := benchRequest(p, teams[i%benchTeams])
			req.Paying = isPaying
			i++
			is.NoErr(decide(p, req))
		})
		is.True(n <= 1)
	}
}

// TestDecisionGrowthBound checks that a decision with 1,500 runners takes less
// than 5 times as long as one with 150, half of linear growth.
func TestDecisionGrowthBound(t *testing.T) {
	is := is.New(t)
	const rounds, each = 9, 4000
	few, teams := benchPools(150)
	many, _ := benchPools(1500)
	clk := clock.System()
	measure := func(p Pools) time.Duration {
		began := clk.Now()
		for i := range each {
			is.NoErr(decide(p, benchRequest(p, teams[i])))
		}
		return clk.Now().Sub(began)
	}
	var ratios []float64
	for range rounds {
		ratios = append(ratios, float64(measure(many))/float64(measure(few)))
	}
	slices.Sort(ratios)
	is.True(ratios[rounds/2] < 5)
}
