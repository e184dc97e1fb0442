package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"pgregory.net/rapid"
)

// TestFairnessProperty keeps requests of several teams with uneven backlogs
// waiting. The numbers of served requests divided by the weights of any two
// teams must not differ by more than one request of each.
func TestFairnessProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clk := clock.NewManual(start)
		p := New(clk, WithMaxQueue(1000), WithoutDeadlineChecks()).(*pools)
		runners := makeRunners(1, 1, 1)
		p.Update(singleInstance(runners))
		clk.Advance(time.Second)
		teams := rapid.IntRange(2, 5).Draw(t, "teams")
		weights := make([]float64, teams)
		for i := range weights {
			weights[i] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
		}
		isPaying := rapid.Bool().Draw(t, "paying")
		g, now := p.snapshot.Load().groups[groupKey{"generate", "m"}], p.now()
		newRequest := func(team int) Request {
			return Request{
				Service: "generate", Model: "m", Team: fmt.Sprint(team), Paying: isPaying,
				Weight: weights[team], Deadline: clk.Now().Add(time.Hour),
			}
		}
		first := newRequest(0)
		current, err := p.acquireNow(g, &first, now)
		if err != nil || current == nil {
			t.Fatalf("no first place: %v", err)
		}
		waiting := map[*waiter]int{}
		const rounds = 16
		for team := range teams {
			for range rounds * rapid.IntRange(1, 3).Draw(t, "size") {
				w, err := p.enqueue(g, newRequest(team), now)
				if err != nil {
					t.Fatal(err)
				}
				waiting[w] = team
			}
		}
		served := make([]float64, teams)
		for range rounds {
			current.Release(Result{Ending: Completed, Latency: time.Millisecond})
			for w, team := range waiting {
				if len(w.result) == 0 {
					continue
				}
				current = (<-w.result).slot
				served[team]++
				delete(waiting, w)
			}
			checkFair(t, served, weights)
		}
	})
}

func checkFair(t *rapid.T, served, weights []float64) {
	for i := range served {
		for j := range served {
			apart := math.Abs(served[i]/weights[i] - served[j]/weights[j])
			if bound := 1/weights[i] + 1/weights[j]; apart > bound+1e-9 {
				t.Fatalf("teams %d and %d are %v apart, bound %v: %v %v", i, j, apart, bound, served, weights)
			}
		}
	}
}
