package proof_test

import (
	"slices"
	"testing"

	"cicadawell.dev/standin/runner"
	"cicadawell.dev/standin/scene"
	"github.com/matryer/is"
)

// rollModels rolls a bundle in which an engine has other models.
func rollModels(t *testing.T, s *scene.Scene, engine string, models ...string) {
	t.Helper()
	s.Bundle.Runners = slices.Clone(s.Bundle.Runners)
	for i := range s.Bundle.Runners {
		if s.Bundle.Runners[i].ID == engine {
			s.Bundle.Runners[i].Models = models
		}
	}
	is.New(t).NoErr(s.Roll(t.Context()))
}

// orders returns the orders that an engine got.
func orders(t *testing.T, s *scene.Scene, engine string) []runner.Ordered {
	t.Helper()
	var rec runner.Record
	is.New(t).NoErr(s.Runners[engine].Record(t.Context(), &rec))
	return rec.Orders
}

// An engine is ordered to the models of a new bundle, and back by whoever is
// left after two routers were killed. The model that callers use is served all
// the while, and the numbers of the orders only grow.
func TestModelsFollowTheBundle(t *testing.T) {
	is := is.New(t)
	s := start(t)
	c := call(t, s, 4, answers)
	c.more(t, 20)
	ordered := func(models ...string) func() bool {
		return func() bool {
			all := orders(t, s, "generate1")
			return len(all) > 0 && slices.Equal(all[len(all)-1].Models, models)
		}
	}
	rollModels(t, s, "generate1", "draft")
	c.await(t, "order to load draft", ordered("draft"))
	s.Routers[0].Kill()
	s.Routers[1].Kill()
	rollModels(t, s, "generate1", "base")
	c.await(t, "order to load base", ordered("base"))
	c.recovered(t, 20)
	judge(t, s, c)
	notRun, unknown := c.unanswered()
	is.Equal(notRun+unknown, 0)
	is.Equal(len(orders(t, s, "generate2")), 0) // it was as wanted all the time
	all := orders(t, s, "generate1")
	for i, o := range all {
		is.True(o.FencingToken > 0)
		is.True(i == 0 || o.FencingToken >= all[i-1].FencingToken)
	}
	t.Logf("%d orders, numbers %d to %d", len(all), all[0].FencingToken, all[len(all)-1].FencingToken)
}
