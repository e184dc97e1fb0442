//go:build !race

package pool_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/router/deadline"
	"cicadawell.dev/router/pool"
)

var showRefusals = flag.Bool("refusals", false, "print the refusals of each run by kind")

// policies returns the configurations that are compared; the first is the
// default.
func policies() []scenario {
	return []scenario{
		{name: "default"},
		{name: "round robin", options: []pool.Option{pool.WithPolicy(pool.PolicyRoundRobin)}},
		{name: "least reported", options: []pool.Option{pool.WithPolicy(pool.PolicyLeastReported)}},
		{name: "no admission", options: []pool.Option{pool.WithoutAdmission()}},
		{
			name:    "no budgets",
			options: []pool.Option{pool.WithoutDeadlineChecks()},
			budgets: []deadline.Option{deadline.WithoutBudgets()},
		},
	}
}

func simulate(t *testing.T, sc scenario) (o outcome, m *model) {
	sc.seed = 1
	synctest.Test(t, func(t *testing.T) {
		m = newModel(sc)
		o = m.run(t.Context())
	})
	return o, m
}

// row formats one line of a table of results.
func row(name string, o outcome, m *model) string {
	seconds := (m.sc.duration - startupPeriod).Seconds()
	return fmt.Sprintf("%-24s %8.2f %8.2f %9.1f %8.2f %7.2f %7.2f %7d %8.2f",
		name, 100*o.attainment(0), 100*o.attainment(1),
		float64(o.met[0]+o.met[1])/seconds, 100*o.worstAttainment,
		100*o.wasted/o.runnerSeconds, 100*o.expiredFraction(), o.coldExcess, m.slowdown())
}

var heading = fmt.Sprintf("%-24s %8s %8s %9s %8s %7s %7s %7s %8s",
	"", "paying%", "free%", "goodput/s", "worst s%", "waste%", "late%", "excess", "slowdown")

// slowdown returns the mean factor by which load slowed down the work of the
// last stage.
func (m *model) slowdown() float64 {
	n, sum := 0, 0.0
	for _, e := range m.order {
		if e.desc.Service == stages[len(stages)-1].service {
			n, sum = n+e.started, sum+e.slowdownSum
		}
	}
	return sum / float64(max(1, n))
}

// table runs the scenario once with each of the listed configurations.
func table(t *testing.T, base scenario, list []scenario) []outcome {
	var lines []string
	var outcomes []outcome
	for _, p := range list {
		sc := base
		sc.options, sc.budgets = p.options, p.budgets
		o, m := simulate(t, sc)
		outcomes = append(outcomes, o)
		lines = append(lines, row(p.name, o, m))
		if *showRefusals {
			lines = append(lines, fmt.Sprint("    ", o.refusals))
		}
	}
	t.Logf("%s: %v, %d model runners, capacity %.0f/s\n%s\n%s", base.name, base.duration, 10*max(1, base.scale), float64(max(1, base.scale))*capacity(), heading, strings.Join(lines, "\n"))
	return outcomes
}

func TestFreeAtFiveTimesBound(t *testing.T) {
	for _, size := range []int{1, 2} {
		freeAtFiveTimes(t, size)
	}
}

func freeAtFiveTimes(t *testing.T, size int) {
	base := scenario{name: "paying at 50% alone", duration: 14 * time.Second, paying: 0.5, scale: size}
	baseline := table(t, base, policies()[:1])
	base.name, base.free = "paying at 50%, free at 500%", 5
	overloaded := table(t, base, policies())
	if drop := baseline[0].attainment(0) - overloaded[0].attainment(0); drop > 0.005 {
		t.Fatalf("free traffic costs paying callers %.2f points", 100*drop)
	}
	if late := overloaded[0].expiredFraction(); late > 0.03 {
		t.Fatalf("%.2f%% of the work went to requests that missed their deadline", 100*late)
	}
}

func TestGoodputPastSaturationBound(t *testing.T) {
	best := 0.0
	var last outcome
	for _, load := range []float64{0.8, 1, 1.2, 2} {
		sc := scenario{name: fmt.Sprintf("paying at %.0f%%", 100*load), duration: 14 * time.Second, paying: load}
		list := policies()[:1]
		if load == 2 {
			list = policies()
		}
		last = table(t, sc, list)[0]
		best = max(best, float64(last.met[0]))
	}
	if float64(last.met[0]) < 0.95*best {
		t.Fatalf("goodput at twice the capacity is %.1f%% of the best", 100*float64(last.met[0])/best)
	}
	if late := last.expiredFraction(); late > 0.03 {
		t.Fatalf("%.2f%% of the work went to requests that missed their deadline", 100*late)
	}
}

func TestSlowRunnerBound(t *testing.T) {
	table(t, scenario{name: "one runner at 5 times its latency", duration: 14 * time.Second, paying: 0.6, events: []event{
		{0.3, func(m *model) { m.engines["generate-3"].latencyFactor = 5 }},
	}}, policies())
	table(t, scenario{name: "one stage at 5 times its latency", duration: 14 * time.Second, paying: 0.5, events: []event{
		{0.3, func(m *model) {
			for _, e := range m.order {
				if e.desc.Service == "rerank" {
					e.latencyFactor = 5
				}
			}
		}},
	}}, policies())
}

func TestZoneOutAndBackBound(t *testing.T) {
	for _, size := range []int{1, 2} {
		zoneOutAndBack(t, size)
	}
}

func zoneOutAndBack(t *testing.T, size int) {
	o := table(t, scenario{name: "a zone out and back", duration: 20 * time.Second, paying: 0.5, scale: size, events: []event{
		{0.3, func(m *model) { m.setZone("zone-1", true) }},
		{0.6, func(m *model) { m.setZone("zone-1", false) }},
	}}, policies())
	if a := o[0].attainment(0); a < 0.995 {
		t.Fatalf("paying attainment is %.2f%%", 100*a)
	}
	if o[0].coldExcess > 0 {
		t.Fatalf("a returning runner got %d attempts too many", o[0].coldExcess)
	}
}

func TestWarmToColdBound(t *testing.T) {
	table(t, scenario{name: "two warm runners turn cold", duration: 14 * time.Second, paying: 0.6, events: []event{
		{0.4, func(m *model) { m.engines["generate-2"].turnCold() }},
		{0.5, func(m *model) { m.engines["encode-1"].turnCold() }},
	}}, policies())
}

func TestBurstBound(t *testing.T) {
	table(t, scenario{
		name: "paying at 30%, three times that for a fifth, free at 100%", duration: 20 * time.Second,
		paying: 0.3, free: 1, burst: 3,
	}, policies())
}

func TestInstanceKilledBound(t *testing.T) {
	o := table(t, scenario{name: "an instance killed", duration: 14 * time.Second, paying: 0.6, events: []event{
		{0.4, func(m *model) { m.kill(2) }},
	}}, policies())
	if a := o[0].attainment(0); a < 0.995 {
		t.Fatalf("paying attainment is %.2f%%", 100*a)
	}
}

func TestZoneOutAndSlowRunnerBound(t *testing.T) {
	events := []event{
		{0.3, func(m *model) { m.setZone("zone-1", true) }},
		{0.4, func(m *model) { m.engines["generate-2"].latencyFactor = 5 }},
		{0.6, func(m *model) { m.setZone("zone-1", false) }},
	}
	for _, size := range []int{1, 2} {
		table(t, scenario{
			name:     "a zone out and back, one runner at 5 times its latency, free at 200%",
			duration: 20 * time.Second, paying: 0.5, free: 2, scale: size, events: events,
		}, policies())
	}
}
