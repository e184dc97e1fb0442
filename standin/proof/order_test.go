package proof_test

import (
	"slices"
	"testing"

	"cicadawell.dev/standin/runner"
	"cicadawell.dev/standin/scene"
	"github.com/matryer/is"
)

// rollModels rolls a bundle that assigns models to an engine.
func rollModels(t *testing.T, s *scene.Fleet, engine string, models ...string) {
	t.Helper()
	s.Bundle.Runners = slices.Clone(s.Bundle.Runners)
	for i := range s.Bundle.Runners {
		if s.Bundle.Runners[i].ID == engine {
			s.Bundle.Runners[i].Models = models
		}
	}
	is.New(t).NoErr(s.Roll(t.Context()))
}

// orders returns the orders that an engine received.
func orders(t *testing.T, s *scene.Fleet, engine string) []runner.ReceivedOrder {
	t.Helper()
	var rec runner.Record
	is.New(t).NoErr(s.Runners[engine].Record(t.Context(), &rec))
	return rec.Orders
}

// Orders an engine to load the models of a new bundle, and back again through the
// remaining routers after two were killed. The model that callers use is served
// throughout, and the fencing tokens of the orders never decrease.
func TestModelsFollowTheBundle(t *testing.T) {
	is := is.New(t)
	s := startFleet(t)
	c := startCallers(t, s, 4, answers)
	c.waitCalls(t, 20)
	ordered := func(models ...string) func() bool {
		return func() bool {
			all := orders(t, s, "generate1")
			return len(all) > 0 && slices.Equal(all[len(all)-1].Models, models)
		}
	}
	rollModels(t, s, "generate1", "draft")
	c.waitUntil(t, "order to load draft", ordered("draft"))
	s.Routers[0].Kill()
	s.Routers[1].Kill()
	rollModels(t, s, "generate1", "base")
	c.waitUntil(t, "order to load base", ordered("base"))
	c.waitRecovery(t, 20)
	stopAndVerify(t, s, c)
	notRun, unknown := c.unanswered()
	is.Equal(notRun+unknown, 0)
	is.Equal(len(orders(t, s, "generate2")), 0) // it had the wanted models throughout
	all := orders(t, s, "generate1")
	for i, o := range all {
		is.True(o.FencingToken > 0)
		is.True(i == 0 || o.FencingToken >= all[i-1].FencingToken)
	}
	t.Logf("%d orders, fencing numbers %d to %d", len(all), all[0].FencingToken, all[len(all)-1].FencingToken)
}
