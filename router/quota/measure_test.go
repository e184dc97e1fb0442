package quota_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/golden"
	"cicadawell.dev/router/quota"
)

// way is one way to share a limit.
type way struct {
	name     string
	exchange bool
}

// spread is how the requests of a team fall on the instances.
type spread struct {
	name    string
	weights func(second int) []float64
}

const (
	measuredInstances = 5
	limit             = 200.0
	measuredSeconds   = 60
	// settled is the second from which the steady figures count.
	settled = 40
	// shift is when the requests move to other instances.
	shift = 20
)

func spreads() []spread {
	even := []float64{1, 1, 1, 1, 1}
	return []spread{
		{"even", func(int) []float64 { return even }},
		{"one instance", func(second int) []float64 {
			if second < shift {
				return []float64{1, 0, 0, 0, 0}
			}
			return []float64{0, 0, 0, 1, 0}
		}},
		{"skewed", func(second int) []float64 {
			if second < shift {
				return []float64{8, 4, 2, 1, 1}
			}
			return []float64{1, 1, 2, 4, 8}
		}},
	}
}

// result is what one run gave.
type result struct {
	// admitted is the steady rate as a part of what should be admitted.
	admitted float64
	// worst is the most that any second admitted, as a part of the limit.
	worst float64
	// converged are the seconds from the shift until three seconds on end
	// admit what they should within a tenth.
	converged int
}

// measure runs one team at demand times its limit through five instances that
// exchange their reports each second, each at its own time.
func measure(w way, s spread, demand float64) result {
	ids := make([]string, measuredInstances)
	quotas := make(map[string]quota.Quotas, measuredInstances)
	for i := range ids {
		ids[i] = fmt.Sprintf("instance-%d", i)
	}
	for _, id := range ids {
		q := quota.New()
		q.Update(ids, id)
		quotas[id] = q
	}
	rng := rand.New(rand.NewPCG(1, 2))
	limited := bundle.Team{ID: "team", RatePerSecond: limit}
	perSecond := make([]float64, measuredSeconds)
	for ms := range measuredSeconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		weights := s.weights(ms / 1000)
		sum := 0.0
		for _, x := range weights {
			sum += x
		}
		for i, id := range ids {
			if w.exchange && ms%1000 == 200*i {
				exchange(quotas, id, now)
			}
			for range poisson(rng, demand*limit*weights[i]/sum/1000) {
				if ok, _ := quotas[id].Allow(limited, now); ok {
					perSecond[ms/1000]++
				}
			}
		}
	}
	return summarize(perSecond, min(demand, 1)*limit)
}

func exchange(quotas map[string]quota.Quotas, id string, now time.Time) {
	for home, report := range quotas[id].Reports(now) {
		quotas[id].Learn(quotas[home].Collect(report, now), now)
	}
}

func summarize(perSecond []float64, should float64) result {
	r := result{converged: -1}
	steady := 0.0
	good := 0
	for second, n := range perSecond {
		if second >= 2 {
			r.worst = max(r.worst, n/limit)
		}
		if second >= settled {
			steady += n / should / float64(measuredSeconds-settled)
		}
		if second < shift || r.converged >= 0 {
			continue
		}
		if good++; n < 0.9*should || n > 1.1*limit {
			good = 0
		}
		if good == 3 {
			r.converged = second - shift - 2
		}
	}
	r.admitted = steady
	return r
}

// poisson draws the number of arrivals in a step with a small mean.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for sum := rng.ExpFloat64(); sum < mean; sum += rng.ExpFloat64() {
		n++
	}
	return n
}

func ways() []way {
	return []way{
		{"even shares", false},
		{"shares by demand", true},
	}
}

// TestWaysToShareALimit compares the ways and keeps the table as a golden file.
func TestWaysToShareALimit(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, "%-26s %-13s %7s %9s %7s %10s\n", "way", "spread", "demand", "admitted%", "worst%", "converged")
	for _, w := range ways() {
		for _, s := range spreads() {
			for _, demand := range []float64{0.8, 1.5, 10} {
				r := measure(w, s, demand)
				fmt.Fprintf(&b, "%-26s %-13s %6.1fx %9.1f %7.1f %9ds\n",
					w.name, s.name, demand, 100*r.admitted, 100*r.worst, r.converged)
			}
		}
	}
	golden.Check(t, "testdata/ways.golden", b.String())
}
