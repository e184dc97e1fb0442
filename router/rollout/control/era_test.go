package control

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"

	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/rollout"
	"github.com/matryer/is"
)

// keepingRecords keeps the last write, and gives it a revision.
type keepingRecords struct {
	revision era.Revision
	last     Write
	writes   int
}

func (k *keepingRecords) Write(_ context.Context, w Write) (era.Revision, error) {
	k.last, k.writes = w, k.writes+1
	return k.revision, nil
}

// comeBack returns the view after the store came back from a copy: with the order written
// again at a revision, if any, and with what the copy has of the decision.
func comeBack(c *controller, order, decision era.Revision, st rollout.State) *inventory.Snapshot {
	s := *c.current.Load()
	s.Revision = era.New(1, 9)
	s.RolloutOrders, s.Rollouts = maps.Clone(s.RolloutOrders), maps.Clone(s.Rollouts)
	o := s.RolloutOrders["s"]
	o.Revision = order
	s.RolloutOrders["s"] = o
	st.Revision = decision
	s.Rollouts["s"] = st
	return &s
}

// TestOrderWrittenAgainContinuesItsRollout guards against a rollout that begins anew, or a
// version that gets calls again after its rollback, since the operator's order has another
// revision after a drill.
func TestOrderWrittenAgainContinuesItsRollout(t *testing.T) {
	inFleet(t, func(is *is.I, c *controller, svc *service) {
		c.update(comeBack(c, era.CarriedInto(1), era.CarriedInto(1), svc.current))
		c.update(comeBack(c, era.New(1, 1), era.CarriedInto(1), svc.current))
		is.Equal(svc.current.Order(), era.New(1, 1))
		is.Equal(len(svc.reporters), 4) // the evidence counts on
		in, _ := c.input(svc, c.clk.Now())
		next, changed := rollout.Decide(in, c.bounds)
		is.True(!changed || next.Reason != "ordered" && next.Reason != "the order was repeated")
	})
	inFleet(t, func(is *is.I, c *controller, svc *service) {
		ended := svc.current
		ended.Step, ended.Phase, ended.Share, ended.Barred = 2, rollout.RolledBack, 0, []string{"v2"}
		ended.Revision = era.New(0, 8)
		c.noteStored(svc, ended, "store")
		c.update(comeBack(c, era.New(1, 1), era.New(1, 7), ended))
		in, _ := c.input(svc, c.clk.Now())
		_, changed := rollout.Decide(in, c.bounds)
		is.True(!changed)
		again := comeBack(c, era.New(1, 10), era.New(1, 7), ended) // a new order of the era
		c.update(again)
		in, _ = c.input(svc, c.clk.Now())
		_, changed = rollout.Decide(in, c.bounds)
		is.True(changed)
	})
}

// TestDecisionThatTheStoreLostIsWrittenAgain guards against a platform that acts on an earlier
// status for ever, since no further decision is due.
func TestDecisionThatTheStoreLostIsWrittenAgain(t *testing.T) {
	for _, held := range []bool{false, true} { // whether the copy holds the step before
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := decidingFleet(t, 4)
			svc := c.services["s"]
			records := &keepingRecords{revision: era.New(1, 12)}
			c.records = records
			before, ended := svc.current, svc.current
			ended.Step, ended.Phase, ended.Share = 5, rollout.Completed, 1
			ended.Revision = era.New(0, 8)
			c.noteStored(svc, ended, "store")
			is.True(!svc.active())
			copied := comeBack(c, era.New(1, 2), era.CarriedInto(1), ended)
			want := era.CarriedInto(1)
			if held {
				copied = comeBack(c, era.New(1, 2), era.New(1, 3), before)
				want = era.New(1, 3)
			}
			c.update(copied)
			is.True(svc.active())
			is.Equal(svc.current.Phase, rollout.Completed) // it stays in force
			is.True(c.newReport("s").RolledBack == nil)
			c.decide(t.Context(), "s")
			c.group.Wait()
			is.Equal(records.writes, 1)
			is.Equal(records.last.State.Phase, rollout.Completed)
			is.Equal(records.last.State.Order(), era.New(1, 2))
			is.Equal(records.last.StateRevision.Number, want.Number)
			is.Equal(records.last.Repeated, false) // the status is written with it
			is.True(!svc.active())
		})
	}
}

// TestReportsOfOlderBuildsAreOfTheKnownEra guards against a decider that drops the reports of
// instances that state no era.
func TestReportsOfOlderBuildsAreOfTheKnownEra(t *testing.T) {
	inFleet(t, func(is *is.I, c *controller, svc *service) {
		s := comeBack(c, era.New(1, 1), era.New(1, 2), svc.current)
		c.current.Advance(s)
		c.update(s)
		svc.attempt = era.New(1, 1)
		r := exampleReport(2, 7)
		r.OrderRevision = 1
		c.answerTo(r)
		is.Equal(svc.reporters["i2"].latest.Sequence, int64(7))
		r.Sequence, r.OrderEra, r.OrderRevision = 8, 0, 0
		c.answerTo(r)
		is.Equal(svc.reporters["i2"].latest.Sequence, int64(7)) // an earlier attempt
	})
}
