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

// strategy is a way to divide a limit. Without exchange, every instance uses an
// even share.
type strategy struct {
	name     string
	exchange bool
}

// distribution holds the relative request rates at the instances by second.
type distribution struct {
	name    string
	weights func(second int) []float64
}

const (
	measuredInstances = 5
	limit             = 200.0
	measuredSeconds   = 60
	// steadyFrom is the second from which the steady-state rate is measured.
	steadyFrom = 40
	// shiftAt is the second at which the requests move to other instances.
	shiftAt = 20
)

func distributions() []distribution {
	even := []float64{1, 1, 1, 1, 1}
	return []distribution{
		{"even", func(int) []float64 { return even }},
		{"one instance", func(second int) []float64 {
			if second < shiftAt {
				return []float64{1, 0, 0, 0, 0}
			}
			return []float64{0, 0, 0, 1, 0}
		}},
		{"skewed", func(second int) []float64 {
			if second < shiftAt {
				return []float64{8, 4, 2, 1, 1}
			}
			return []float64{1, 1, 2, 4, 8}
		}},
	}
}

// result is the result of one run.
type result struct {
	// admitted is the steady-state rate as a fraction of the expected rate.
	admitted float64
	// maxRate is the maximum rate of any second as a fraction of the limit. The
	// first two seconds are left out.
	maxRate float64
	// converged is the number of seconds from the shift until the first of
	// three consecutive seconds whose rates are at least 90 % of the expected
	// rate and at most 110 % of the limit; -1 means never.
	converged int
}

// measure sends the requests of one team at demand times its limit to five
// instances. With exchange, each instance reports once a second, at different
// offsets.
func measure(w strategy, s distribution, demand float64) result {
	ids := make([]string, measuredInstances)
	limiters := make(map[string]quota.Limiter, measuredInstances)
	for i := range ids {
		ids[i] = fmt.Sprintf("instance-%d", i)
	}
	for _, id := range ids {
		q := quota.New()
		q.SetInstances(ids, id)
		limiters[id] = q
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
				exchange(limiters, id, now)
			}
			for range poisson(rng, demand*limit*weights[i]/sum/1000) {
				if ok, _ := limiters[id].Allow(limited, now); ok {
					perSecond[ms/1000]++
				}
			}
		}
	}
	return summarize(perSecond, min(demand, 1)*limit)
}

func exchange(limiters map[string]quota.Limiter, id string, now time.Time) {
	for owner, report := range limiters[id].EndPeriod(now) {
		limiters[id].ApplyTotals(limiters[owner].RecordReport(report, now), now)
	}
}

func summarize(perSecond []float64, expected float64) result {
	r := result{converged: -1}
	steady := 0.0
	inRange := 0
	for second, n := range perSecond {
		if second >= 2 {
			r.maxRate = max(r.maxRate, n/limit)
		}
		if second >= steadyFrom {
			steady += n / expected / float64(measuredSeconds-steadyFrom)
		}
		if second < shiftAt || r.converged >= 0 {
			continue
		}
		if inRange++; n < 0.9*expected || n > 1.1*limit {
			inRange = 0
		}
		if inRange == 3 {
			r.converged = second - shiftAt - 2
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

func strategies() []strategy {
	return []strategy{
		{"even shares", false},
		{"shares by demand", true},
	}
}

// TestLimitSharingStrategies compares the strategies and checks the table of
// results against a golden file.
func TestLimitSharingStrategies(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, "%-26s %-13s %7s %9s %7s %10s\n", "way", "spread", "demand", "admitted%", "worst%", "converged")
	for _, w := range strategies() {
		for _, s := range distributions() {
			for _, demand := range []float64{0.8, 1.5, 10} {
				r := measure(w, s, demand)
				fmt.Fprintf(&b, "%-26s %-13s %6.1fx %9.1f %7.1f %9ds\n",
					w.name, s.name, demand, 100*r.admitted, 100*r.maxRate, r.converged)
			}
		}
	}
	golden.Check(t, "testdata/ways.golden", b.String())
}
