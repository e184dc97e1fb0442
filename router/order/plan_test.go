package order_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/golden"
	"cicadawell.dev/router/order"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var models = []string{"a", "b", "c"}

func drawModels(t *rapid.T, name string, least int) []string {
	m := rapid.SliceOfNDistinct(rapid.SampledFrom(models), least, len(models), rapid.ID[string]).Draw(t, name)
	slices.Sort(m)
	return m
}

func drawObservations(t *rapid.T) []order.Observation {
	n := rapid.IntRange(1, 5).Draw(t, "runners")
	observed := make([]order.Observation, n)
	for i := range observed {
		observed[i] = order.Observation{
			Runner:    bundle.Runner{ID: fmt.Sprintf("r%d", i), Models: drawModels(t, "wanted", 1)},
			Reachable: rapid.IntRange(0, 9).Draw(t, "known") > 0,
			Loaded:    drawModels(t, "loaded", 0),
			Settling:  rapid.IntRange(0, 4).Draw(t, "settling") == 0,
			Out:       rapid.IntRange(0, 4).Draw(t, "out") == 0,
		}
	}
	return observed
}

// servers counts the runners that serve m, except the excluded ones.
func servers(observed []order.Observation, m string, excluded map[string]bool) int {
	n := 0
	for _, s := range observed {
		if s.Reachable && !s.Settling && !s.Out && slices.Contains(s.Loaded, m) && !excluded[s.Runner.ID] {
			n++
		}
	}
	return n
}

func wantedAnywhere(observed []order.Observation, m string) bool {
	return slices.ContainsFunc(observed, func(s order.Observation) bool { return slices.Contains(s.Runner.Models, m) })
}

// Guards against a plan that removes the last warm server of a wanted model, and
// against one that never ends. From any state, each wanted model that a runner
// removes has another warm server even if all planned orders are sent at once.
// Repeated planning ends with each reachable runner as wanted or with a reason
// for the difference.
func TestPlanKeepsAServerProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		observed := drawObservations(t)
		for range 40 {
			steps, deferred := order.Plan(observed)
			checkSteps(t, observed, steps)
			if len(steps) == 0 {
				checkFinal(t, observed, deferred)
				return
			}
			observed = after(observed, steps)
		}
		t.Fatal("the plan does not end")
	})
}

func checkSteps(t *rapid.T, observed []order.Observation, steps []order.Step) {
	ordered := map[string]bool{}
	for _, s := range steps {
		ordered[s.Runner.ID] = true
	}
	for _, s := range steps {
		i := slices.IndexFunc(observed, func(x order.Observation) bool { return x.Runner.ID == s.Runner.ID })
		if !observed[i].Reachable || observed[i].Settling {
			t.Fatalf("%s is ordered although its state is %+v", s.Runner.ID, observed[i])
		}
		for _, m := range s.Removes {
			if !observed[i].Out && wantedAnywhere(observed, m) && servers(observed, m, ordered) == 0 {
				t.Fatalf("%s gives %s up, and no runner serves it", s.Runner.ID, m)
			}
		}
	}
}

func checkFinal(t *rapid.T, observed []order.Observation, deferred []order.Deferred) {
	for _, s := range observed {
		loaded := slices.Clone(s.Loaded)
		slices.Sort(loaded)
		explained := slices.ContainsFunc(deferred, func(w order.Deferred) bool {
			return w.Runner == s.Runner.ID && w.Reason != ""
		})
		if !slices.Equal(loaded, s.Runner.Models) && !explained {
			t.Fatalf("%s stays at %v for no reason", s.Runner.ID, loaded)
		}
	}
}

// after returns the observations after the steps have been executed: the runners
// of the steps are settling, and all others have settled.
func after(observed []order.Observation, steps []order.Step) []order.Observation {
	next := slices.Clone(observed)
	for i := range next {
		next[i].Settling = false
	}
	for _, s := range steps {
		i := slices.IndexFunc(next, func(x order.Observation) bool { return x.Runner.ID == s.Runner.ID })
		next[i].Loaded = s.Runner.Models
		next[i].Settling = true
	}
	return next
}

// Shows the plans of a first placement and of moves of models, step by step.
func TestPlanSteps(t *testing.T) {
	var out strings.Builder
	fleet := func(wanted ...string) []order.Observation {
		observed := make([]order.Observation, len(wanted))
		for i, w := range wanted {
			observed[i] = order.Observation{Runner: bundle.Runner{ID: fmt.Sprintf("r%d", i+1), Models: strings.Fields(w)}, Reachable: true}
		}
		return observed
	}
	first := fleet("a b", "a", "b c")
	show(&out, "first placement", first)
	move := fleet("b", "a", "a b")
	move[0].Loaded, move[1].Loaded, move[2].Loaded = []string{"a"}, []string{"b"}, []string{"a"}
	show(&out, "move", move)
	swap := fleet("b", "a")
	swap[0].Loaded, swap[1].Loaded = []string{"a"}, []string{"b"}
	show(&out, "exchange between two runners", swap)
	lost := fleet("a", "a", "a")
	lost[0].Reachable, lost[1].Loaded = false, []string{"old"}
	show(&out, "a silent runner and a retired model", lost)
	golden.Check(t, "testdata/plan.golden", out.String())
}

func show(out *strings.Builder, title string, observed []order.Observation) {
	fmt.Fprintf(out, "%s\n", title)
	for pass := 1; pass < 12; pass++ {
		steps, deferred := order.Plan(observed)
		for _, s := range steps {
			fmt.Fprintf(out, "  %d %s: %s, witnesses %v\n", pass, s.Runner.ID, s.Reason(), s.Replicas)
		}
		for _, w := range deferred {
			fmt.Fprintf(out, "  %d %s: withheld, %s\n", pass, w.Runner, w.Reason)
		}
		settling := slices.ContainsFunc(observed, func(s order.Observation) bool { return s.Settling })
		if len(steps) == 0 && !settling {
			break
		}
		observed = after(observed, steps)
	}
}

func TestPace(t *testing.T) {
	is := is.New(t)
	p := order.Pace{Interval: 2 * time.Second}
	is.True(!p.NextAt(5).After(epoch))
	p = p.WithLoad(epoch)
	is.Equal(p.NextAt(5), epoch.Add(10*time.Second)) // the rate is shared by five instances
	is.Equal(p.NextAt(0), epoch.Add(2*time.Second))
}
