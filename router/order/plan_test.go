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

func drawSeen(t *rapid.T) []order.Seen {
	n := rapid.IntRange(1, 5).Draw(t, "runners")
	seen := make([]order.Seen, n)
	for i := range seen {
		seen[i] = order.Seen{
			Runner:   bundle.Runner{ID: fmt.Sprintf("r%d", i), Models: drawModels(t, "wanted", 1)},
			Known:    rapid.IntRange(0, 9).Draw(t, "known") > 0,
			Models:   drawModels(t, "loaded", 0),
			Settling: rapid.IntRange(0, 4).Draw(t, "settling") == 0,
			Out:      rapid.IntRange(0, 4).Draw(t, "out") == 0,
		}
	}
	return seen
}

// servers counts the runners that serve m, without those left out.
func servers(seen []order.Seen, m string, leftOut map[string]bool) int {
	n := 0
	for _, s := range seen {
		if s.Known && !s.Settling && !s.Out && slices.Contains(s.Models, m) && !leftOut[s.Runner.ID] {
			n++
		}
	}
	return n
}

func wantedAnywhere(seen []order.Seen, m string) bool {
	return slices.ContainsFunc(seen, func(s order.Seen) bool { return slices.Contains(s.Runner.Models, m) })
}

// From any state, all planned orders given at once leave each wanted model that
// a runner gives up with another warm server, and following the plan ends with
// every reachable runner as wanted or with a reason why not.
func TestPlanKeepsAServerProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seen := drawSeen(t)
		for range 40 {
			steps, withheld := order.Plan(seen)
			checkSteps(t, seen, steps)
			if len(steps) == 0 {
				checkRest(t, seen, withheld)
				return
			}
			seen = after(seen, steps)
		}
		t.Fatal("the plan does not end")
	})
}

func checkSteps(t *rapid.T, seen []order.Seen, steps []order.Step) {
	ordered := map[string]bool{}
	for _, s := range steps {
		ordered[s.Runner.ID] = true
	}
	for _, s := range steps {
		i := slices.IndexFunc(seen, func(x order.Seen) bool { return x.Runner.ID == s.Runner.ID })
		if !seen[i].Known || seen[i].Settling {
			t.Fatalf("%s is ordered although its state is %+v", s.Runner.ID, seen[i])
		}
		for _, m := range s.Removes {
			if !seen[i].Out && wantedAnywhere(seen, m) && servers(seen, m, ordered) == 0 {
				t.Fatalf("%s gives %s up, and no runner serves it", s.Runner.ID, m)
			}
		}
	}
}

func checkRest(t *rapid.T, seen []order.Seen, withheld []order.Withheld) {
	for _, s := range seen {
		loaded := slices.Clone(s.Models)
		slices.Sort(loaded)
		explained := slices.ContainsFunc(withheld, func(w order.Withheld) bool {
			return w.Runner == s.Runner.ID && w.Reason != ""
		})
		if !slices.Equal(loaded, s.Runner.Models) && !explained {
			t.Fatalf("%s stays at %v for no reason", s.Runner.ID, loaded)
		}
	}
}

// after returns what is seen when the steps have been taken and all that
// settled has settled.
func after(seen []order.Seen, steps []order.Step) []order.Seen {
	next := slices.Clone(seen)
	for i := range next {
		next[i].Settling = false
	}
	for _, s := range steps {
		i := slices.IndexFunc(next, func(x order.Seen) bool { return x.Runner.ID == s.Runner.ID })
		next[i].Models = s.Runner.Models
		next[i].Settling = true
	}
	return next
}

// A first placement and a move of models, step by step.
func TestPlanText(t *testing.T) {
	var out strings.Builder
	fleet := func(wanted ...string) []order.Seen {
		seen := make([]order.Seen, len(wanted))
		for i, w := range wanted {
			seen[i] = order.Seen{Runner: bundle.Runner{ID: fmt.Sprintf("r%d", i+1), Models: strings.Fields(w)}, Known: true}
		}
		return seen
	}
	first := fleet("a b", "a", "b c")
	show(&out, "first placement", first)
	move := fleet("b", "a", "a b")
	move[0].Models, move[1].Models, move[2].Models = []string{"a"}, []string{"b"}, []string{"a"}
	show(&out, "move", move)
	swap := fleet("b", "a")
	swap[0].Models, swap[1].Models = []string{"a"}, []string{"b"}
	show(&out, "exchange between two runners", swap)
	lost := fleet("a", "a", "a")
	lost[0].Known, lost[1].Models = false, []string{"old"}
	show(&out, "a silent runner and a retired model", lost)
	golden.Check(t, "testdata/plan.golden", out.String())
}

func show(out *strings.Builder, title string, seen []order.Seen) {
	fmt.Fprintf(out, "%s\n", title)
	for pass := 1; pass < 12; pass++ {
		steps, withheld := order.Plan(seen)
		for _, s := range steps {
			fmt.Fprintf(out, "  %d %s: %s, witnesses %v\n", pass, s.Runner.ID, s.Reason(), s.Witnesses)
		}
		for _, w := range withheld {
			fmt.Fprintf(out, "  %d %s: withheld, %s\n", pass, w.Runner, w.Reason)
		}
		settling := slices.ContainsFunc(seen, func(s order.Seen) bool { return s.Settling })
		if len(steps) == 0 && !settling {
			break
		}
		seen = after(seen, steps)
	}
}

func TestPace(t *testing.T) {
	is := is.New(t)
	p := order.Pace{Interval: 2 * time.Second}
	is.True(!p.NextAt(5).After(epoch))
	p = p.WithLoad(epoch)
	is.Equal(p.NextAt(5), epoch.Add(10*time.Second)) // five instances share the rate
	is.Equal(p.NextAt(0), epoch.Add(2*time.Second))
}
