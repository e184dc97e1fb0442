package control

import (
	"slices"
	"time"

	"cicadawell.dev/router/era"
	"cicadawell.dev/router/rollout"
)

// service is what an instance knows of the rollout of one service. The controller's mu
// guards it.
type service struct {
	name string
	// order is nil if there is none, or if it was withdrawn.
	order *rollout.Order
	// refused is the revision of the last order that was invalid.
	refused era.Revision
	// tracked is the order that evidence is recorded for.
	tracked *rollout.Order
	// attempt is the revision of the first order of the attempt. It differs from that of
	// the order if the order was repeated during the rollout. Only reports of the attempt
	// count.
	attempt era.Revision
	// stored is the newest decision known to be in the store. Its revision is zero if
	// there is none.
	stored rollout.State
	// current is the decision that this instance applies. It is newer than stored after
	// a rollback that isn't in the store yet.
	current rollout.State
	// heardAt is when the store or most instances were last heard of by the decider that
	// answered the reports.
	heardAt   time.Time
	inContact bool
	// reporting is set while a report is being sent, sequence numbers the reports.
	reporting bool
	sequence  int64
	// lostDeciderAt is when this instance couldn't reach the decider last.
	lostDeciderAt time.Time
	// leftAt is when this instance left the decisions to its successor.
	leftAt time.Time

	// The other fields are those of the decider.
	reporters map[string]*reporter
	history   rollout.History
	writer
}

// known reports whether there is a decision.
func known(st rollout.State) bool { return st.Service != "" }

func ended(st rollout.State) bool {
	return st.Phase == rollout.Completed || st.Phase == rollout.RolledBack
}

// supersedes reports whether a decision replaces another one on the same service. A
// decision on a newer order does, and the end of a rollout replaces all else of the same
// order. Of two ends the one in the store counts, since the platform acts on it.
func supersedes(next, old rollout.State) bool {
	switch {
	case !known(old):
		return known(next)
	case next.Order() != old.Order():
		return next.Order().After(old.Order())
	case ended(next) != ended(old):
		return ended(next)
	case ended(next) && next.Revision.Stored() != old.Revision.Stored():
		return next.Revision.Stored()
	case next.Step != old.Step:
		return next.Step > old.Step
	}
	return next.Revision.After(old.Revision)
}

// sameDecision reports whether two states differ at most in the elapsed time and in their
// revisions.
func sameDecision(a, b rollout.State) bool {
	return a.Order() == b.Order() && a.Step == b.Step && a.Phase == b.Phase && a.Share == b.Share &&
		a.Runners == b.Runners && a.Target == b.Target && slices.Equal(a.Barred, b.Barred)
}

// enter notes the era of the store. The decision in force was in the store of an earlier
// one, which may have lost it.
func (s *service) enter(n int64) {
	if s.current.Revision.Stored() && s.current.Revision.Era < n {
		s.current.Revision = era.CarriedInto(n)
	}
}

// rebind has the decisions follow an order that was written again.
func (s *service) rebind(order rollout.Order) {
	s.current, s.stored = s.current.Rebound(order), s.stored.Rebound(order)
	if s.pending != nil {
		pending := s.pending.Rebound(order)
		s.pending = &pending
	}
}

// unstored reports whether the decision that is in force here isn't in the store: a rollback
// that is still to be written, or any decision that the store lost.
func (s *service) unstored() bool {
	if !known(s.current) || s.current.Revision.Stored() {
		return false
	}
	if !s.stored.Revision.Stored() {
		return true
	}
	return s.stored.Order().Before(s.current.Order()) || s.stored.Order() == s.current.Order() && !ended(s.stored)
}

// active reports whether a decision is still to be made or to be written.
func (s *service) active() bool {
	switch {
	case s.current.Phase == rollout.Running, s.unstored():
		return true
	case s.order == nil:
		return false
	}
	return !known(s.current) || s.current.Order().Before(s.order.Revision)
}

// target returns the version that the calls move to.
func (s *service) target() string {
	if s.order != nil {
		return s.order.Target
	}
	return s.current.Target
}

// elapsed returns the time since the order. Both times on which it is based were read
// after the event, so that the longer one is closer.
func (s *service) elapsed(now time.Time) time.Duration {
	var d time.Duration
	if s.order != nil {
		d = now.Sub(s.order.SeenAt)
	}
	if known(s.current) && (s.order == nil || s.current.Order() == s.order.Revision) {
		d = max(d, s.current.Elapsed+now.Sub(s.current.SeenAt))
	}
	return max(d, 0)
}

// setOrder takes over the order of a service. The caller holds mu.
func (c *controller) setOrder(svc *service, order rollout.Order, ordered bool) {
	if !ordered {
		if svc.order != nil {
			c.log.Info("order of a rollout withdrawn", "service", svc.name, "target", svc.order.Target, "order", svc.order.Revision.Number)
		}
		svc.setOrder(nil)
		if svc.tracked != nil && !svc.active() {
			svc.tracked = nil
			c.recorder.Forget(svc.name)
		}
		return
	}
	if svc.order != nil && svc.order.Revision == order.Revision {
		return
	}
	c.log.Info("order of a rollout", "service", svc.name, "target", order.Target, "order", order.Revision.Number, "durationMillis", order.Duration.Milliseconds())
	svc.setOrder(&order)
	c.track(svc, order)
}

// setOrder replaces the order. A step that was decided by another one is no longer
// written; a rollback is.
func (s *service) setOrder(order *rollout.Order) {
	if s.order == order {
		return
	}
	s.order, s.anyOrder, s.orderConflicts = order, false, 0
	if s.pending != nil && s.pending.Phase != rollout.RolledBack {
		s.pending = nil
	}
}

// track starts to record the evidence for an order, or goes on if it repeats the one of
// the running rollout. The caller holds mu.
func (c *controller) track(svc *service, order rollout.Order) {
	running := svc.current.Phase == rollout.Running && svc.current.Target == order.Target
	undecided := svc.tracked != nil && svc.tracked.Target == order.Target && svc.current.Order().Before(svc.tracked.Revision)
	switch {
	case svc.tracked == nil && running:
		svc.attempt = svc.current.Order()
	case svc.tracked == nil || !running && !undecided:
		c.recorder.Forget(svc.name)
		svc.attempt = order.Revision
		svc.reporters, svc.history = make(map[string]*reporter), rollout.History{}
	}
	svc.tracked = &order
	c.recorder.Track(svc.name, order.Target)
}

// noteStored takes over a decision that is in the store. The caller holds mu.
func (c *controller) noteStored(svc *service, st rollout.State, source string) {
	if !st.Revision.After(svc.stored.Revision) {
		return
	}
	svc.stored = st
	c.adopt(svc, st, source)
	if svc.unstored() && svc.current.Step <= st.Step {
		// Targets apply the decision with the higher step.
		raised := svc.current
		raised.Step = st.Step + 1
		svc.current = raised
		c.targets.ApplyRollout(raised)
	}
	c.settlePending(svc)
}

// adopt applies a decision unless the one in force supersedes it. The caller holds mu.
func (c *controller) adopt(svc *service, st rollout.State, source string) {
	old := svc.current
	if !supersedes(st, old) {
		return
	}
	if known(old) && st.Step <= old.Step && !sameDecision(st, old) {
		st.Step = old.Step + 1
	}
	svc.current = st
	if known(old) && sameDecision(st, old) {
		return
	}
	c.targets.ApplyRollout(st)
	// The targets log it for operators.
	c.log.Debug("rollout decision taken over", "service", svc.name, "target", st.Target, "order", st.OrderRevision, "step", st.Step,
		"phase", st.Phase, "share", st.Share, "runners", st.Runners, "from", source, "reason", st.Reason)
}
