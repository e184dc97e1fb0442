package control

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/rollout"
	"github.com/matryer/is"
)

// inFleet runs a test with the decider of four instances that all have reported, in a
// bubble.
func inFleet(t *testing.T, test func(is *is.I, c *controller, svc *service)) {
	synctest.Test(t, func(t *testing.T) {
		c := decidingFleet(t, 4)
		test(is.New(t), c, c.services["s"])
	})
}

// rollback returns a rollback of the running decision of decidingFleet.
func rollback(step int64) rollout.State {
	return rollout.State{Service: "s", Target: "v2", OrderRevision: 2, Step: step, Phase: rollout.RolledBack, Barred: []string{"v2"}}
}

// TestRollbackOutlivesItsDecider guards against a rollback that is lost with a decider
// that couldn't write it: the instances that apply it report it to the next one.
func TestRollbackOutlivesItsDecider(t *testing.T) {
	inFleet(t, func(is *is.I, c *controller, svc *service) {
		r := exampleReport(1, 2)
		st := rollback(2)
		r.RolledBack = &st
		data, err := json.Marshal(r)
		is.NoErr(err)
		_, err = c.serveReport(context.Background(), "i1", data)
		is.NoErr(err)
		is.Equal(c.States()[0].Phase, "rolledBack")
		is.Equal(c.newReport("s").RolledBack.Step, int64(2)) // and this instance reports it, too
		is.True(svc.active())                                // until it is in the store
		stored := st
		stored.Revision = era.New(0, 9)
		c.noteStored(svc, stored, "store")
		is.True(c.newReport("s").RolledBack == nil)
		is.True(!svc.active())
	})
}

// TestRollbackStaysAboveStoredSteps guards against an instance that resumes calls to a bad
// version by a step of a decider that didn't know of the rollback.
func TestRollbackStaysAboveStoredSteps(t *testing.T) {
	inFleet(t, func(is *is.I, c *controller, svc *service) {
		c.adopt(svc, rollback(2), "report")
		st := svc.stored
		st.Step, st.Share, st.Revision = 5, 0.5, era.New(0, 8)
		c.noteStored(svc, st, "store")
		is.Equal(svc.current.Phase, rollout.RolledBack)
		is.Equal(svc.current.Step, int64(6))
	})
}

// TestStepsAreAboveAllReportedOnes guards against instances that ignore a decision, since
// they apply one with a higher step.
func TestStepsAreAboveAllReportedOnes(t *testing.T) {
	inFleet(t, func(is *is.I, c *controller, svc *service) {
		r := exampleReport(1, 2)
		r.Step = 7
		c.answerTo(r)
		c.propose(svc, rollback(2), gathered{}, c.clk.Now())
		is.Equal(svc.pending.Step, int64(8))
	})
}

// TestContactIsAsOldAsTheDeciders guards against an instance that stays in contact for
// longer than allowed, by the answers of a decider that is losing its own contact.
func TestContactIsAsOldAsTheDeciders(t *testing.T) {
	inFleet(t, func(is *is.I, c *controller, svc *service) {
		is.NoErr(clock.System().Sleep(context.Background(), time.Second))
		a := c.answerTo(exampleReport(1, 2))
		is.True(a.InContact)
		is.Equal(a.HeardMillis, int64(1000))
		now := c.clk.Now()
		c.noteAnswer("s", a, "i1", now)
		is.Equal(now.Sub(svc.heardAt), time.Second)
		is.NoErr(clock.System().Sleep(context.Background(), time.Second))
		is.True(!c.answerTo(exampleReport(1, 3)).InContact) // neither the store nor most instances
		for n := range 3 {
			c.answerTo(exampleReport(n, 4))
		}
		a = c.answerTo(exampleReport(1, 5))
		is.True(a.InContact)
		is.Equal(a.HeardMillis, int64(0))
	})
}

// TestSuccessorWaitsForReports guards against decisions without the evidence that the
// predecessor had.
func TestSuccessorWaitsForReports(t *testing.T) {
	inFleet(t, func(is *is.I, c *controller, svc *service) {
		is.NoErr(clock.System().Sleep(context.Background(), time.Second))
		is.True(!c.ready(svc, c.clk.Now())) // the reports are those of an earlier term
		for n := range 4 {
			is.True(!c.ready(svc, c.clk.Now()))
			c.answerTo(exampleReport(n, 2))
		}
		is.True(c.ready(svc, c.clk.Now()))
		svc.endTerm()
		is.NoErr(clock.System().Sleep(context.Background(), time.Second))
		is.True(!c.ready(svc, c.clk.Now()))
		is.NoErr(clock.System().Sleep(context.Background(), 2*time.Second))
		is.True(c.ready(svc, c.clk.Now())) // not forever
	})
}

// TestConfirmations guards against completions while an instance may send calls to old
// runners: one without a report, one that has registered anew, and one that has ended its
// registration and finishes its calls.
func TestConfirmations(t *testing.T) {
	inFleet(t, func(is *is.I, c *controller, svc *service) {
		s := *c.current.Load()
		gather := func(instances map[string]inventory.Instance) gathered {
			changed := s
			changed.Instances = instances
			return svc.gather(&changed, c.clk.Now())
		}
		is.Equal(gather(s.Instances).unconfirmed, 0)
		with := func(name string, revision int64) map[string]inventory.Instance {
			out := map[string]inventory.Instance{name: {Name: name, Revision: era.New(0, revision)}}
			for n, i := range s.Instances {
				if n != name {
					out[n] = i
				}
			}
			return out
		}
		is.Equal(gather(with("new", 1)).unconfirmed, 1)
		is.Equal(gather(with("i1", 9)).unconfirmed, 1)
		without := with("i1", 1)
		delete(without, "i1")
		r := exampleReport(1, 2)
		r.InFlight.Baseline, r.BaselineAtMostOnce, r.Step = 3, 2, 0
		c.answerTo(r)
		g := gather(without)
		is.Equal(g.inFlight.Baseline, int64(3))
		is.Equal(g.baselineAtMostOnce, int64(2))
		is.Equal(g.unconfirmed, 1)
		is.NoErr(clock.System().Sleep(context.Background(), reportLife+time.Second))
		g = gather(without)
		is.Equal(g.inFlight.Baseline, int64(0)) // it is gone
		is.Equal(g.unconfirmed, 0)
		is.Equal(g.total.Overall().Baseline.Answers, int64(4*4*200)) // its evidence counts
	})
}

// TestReportsOfEarlierAttemptsDoNotCount guards against a second attempt that is judged by
// the answers to the first one.
func TestReportsOfEarlierAttemptsDoNotCount(t *testing.T) {
	inFleet(t, func(is *is.I, c *controller, svc *service) {
		st := rollback(2)
		st.Revision = era.New(0, 5)
		c.noteStored(svc, st, "store")
		again := *svc.order
		again.Revision = era.New(0, 6)
		c.setOrder(svc, again, true)
		is.Equal(len(svc.reporters), 0)
		c.answerTo(exampleReport(1, 2)) // for the order of revision 2
		is.Equal(len(svc.reporters), 0)
		r := exampleReport(1, 3)
		r.OrderRevision = 6
		c.answerTo(r)
		is.Equal(len(svc.reporters), 1)
	})
}

// TestStepOfReplacedOrderIsNotWritten guards against a completion that is written for an
// order that was withdrawn or replaced meanwhile.
func TestStepOfReplacedOrderIsNotWritten(t *testing.T) {
	inFleet(t, func(is *is.I, c *controller, svc *service) {
		st := svc.current
		st.Step, st.Phase = 2, rollout.Completed
		c.setPending(svc, st)
		c.setOrder(svc, rollout.Order{}, false)
		is.True(svc.pending == nil)
		c.setPending(svc, rollback(2))
		again := rollout.Order{Service: "s", Target: "v3", Revision: era.New(0, 8)}
		c.setOrder(svc, again, true)
		is.True(svc.pending != nil) // the rollback stays to be written
	})
}

// TestOrdersOfUnknownServicesAreIgnored guards against orders by a misspelt name, which
// would never end.
func TestOrdersOfUnknownServicesAreIgnored(t *testing.T) {
	inFleet(t, func(is *is.I, c *controller, _ *service) {
		s := *c.current.Load()
		s.RolloutOrders = map[string]rollout.Order{"s": s.RolloutOrders["s"], "misspelt": {Service: "misspelt", Target: "v2", Duration: time.Minute, Revision: era.New(0, 4)}}
		c.update(&s)
		is.Equal(len(c.States()), 1)
		is.Equal(fmt.Sprint(c.reportable()), "[s]")
	})
}

// TestDeciderThatLeftTellsOthers guards against instances that go on reporting to a
// decider that has left the decisions to its successor.
func TestDeciderThatLeftTellsOthers(t *testing.T) {
	inFleet(t, func(is *is.I, c *controller, svc *service) {
		c.noteWrite(svc, Write{}, era.Revision{}, fault.New(fault.StoreUnavailable, "refused"), c.clk.Now())
		is.True(!c.answerTo(exampleReport(1, 2)).WriteFailing)
		is.NoErr(clock.System().Sleep(context.Background(), writeFailingAfter))
		a := c.answerTo(exampleReport(1, 3))
		is.True(a.WriteFailing)
		c.noteAnswer("s", a, c.self, c.clk.Now())
		is.True(c.decider("s") != c.self)
		svc.endTerm()
		is.True(c.answerTo(exampleReport(1, 4)).WriteFailing)
		is.NoErr(clock.System().Sleep(context.Background(), leftFor+time.Second))
		is.True(!c.answerTo(exampleReport(1, 5)).WriteFailing)
	})
}

// TestLoneDeciderMakesNoStep guards against steps and rollbacks by an instance that hears
// few others, and so doesn't know what they have sent and got.
func TestLoneDeciderMakesNoStep(t *testing.T) {
	inFleet(t, func(is *is.I, c *controller, svc *service) {
		in := rollout.Input{Order: svc.order, Elapsed: time.Minute}
		step := rollout.State{Phase: rollout.Running}
		is.True(c.entitled(in, step, gathered{reporting: 3}))
		is.True(!c.entitled(in, step, gathered{reporting: 2}))
		is.True(c.entitled(in, rollback(2), gathered{reporting: 1}))
		in.Elapsed = svc.order.Duration
		is.True(!c.entitled(in, rollback(2), gathered{reporting: 2}))
		in.Elapsed += loneDecisionAfter
		is.True(c.entitled(in, rollback(2), gathered{reporting: 1}))
		in.Order = nil
		is.True(c.entitled(in, rollback(2), gathered{reporting: 1}))
	})
}

// refusingRecords takes no writes.
type refusingRecords struct{}

func (refusingRecords) Write(context.Context, Write) (era.Revision, error) {
	return era.Revision{}, fault.New(fault.StoreUnavailable, "refused")
}

// TestStepWaitsForMostReports guards against a step by a decider that hears nobody, at the
// time at which the share is to grow.
func TestStepWaitsForMostReports(t *testing.T) {
	inFleet(t, func(is *is.I, c *controller, svc *service) {
		c.records = refusingRecords{}
		is.NoErr(clock.System().Sleep(context.Background(), 57*time.Minute))
		for range 3 {
			c.decide(context.Background(), "s")
			is.NoErr(clock.System().Sleep(context.Background(), 2*time.Second))
		}
		is.True(svc.pending == nil)
		for n := range 4 {
			r := exampleReport(n, 2)
			c.answerTo(r)
		}
		c.decide(context.Background(), "s")
		is.True(svc.pending != nil)
		c.group.Wait()
	})
}

// TestFailedWriteIsTriedAgain guards against a second, different decision after a write
// that may have taken effect.
func TestFailedWriteIsTriedAgain(t *testing.T) {
	inFleet(t, func(is *is.I, c *controller, svc *service) {
		st := svc.current
		st.Step, st.Phase = 2, rollout.Completed
		c.setPending(svc, st)
		c.noteWrite(svc, Write{State: st}, era.Revision{}, fault.New(fault.StoreUnavailable, "no answer").WithOutcome(fault.Unknown), c.clk.Now())
		is.Equal(svc.pending.Phase, rollout.Completed)
		c.propose(svc, rollback(3), gathered{}, c.clk.Now())
		is.Equal(svc.current.Phase, rollout.Running) // until the store has the rollback
		st.Revision = era.New(0, 7)
		c.noteStored(svc, st, "store")
		is.True(svc.pending == nil)
		is.Equal(svc.current.Phase, rollout.Completed)
	})
}
