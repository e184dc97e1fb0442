package control

import (
	"context"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/rollout"
)

const (
	// rewriteInterval is the time after which a running decision is written again, so
	// that a successor knows the elapsed time to about a second.
	rewriteInterval = 900 * time.Millisecond
	// writeTimeout bounds a write. Slow answers of the store take up to some seconds.
	writeTimeout = 2 * time.Second
	// refreshTimeout bounds the reading of the outcome of a write.
	refreshTimeout = time.Second
	// minWriteBackoff and maxWriteBackoff bound the time until a failed write is tried
	// again.
	minWriteBackoff = 100 * time.Millisecond
	maxWriteBackoff = time.Second
	// loneDecisionAfter is the time after the deadline from which a rollout is rolled back
	// without the reports of most instances.
	loneDecisionAfter = 10 * time.Second
	// conflictsForAnyOrder is the number of conflicts with a known decision after which
	// the order's revision is no longer a condition: an order that couldn't be read has
	// replaced the known one.
	conflictsForAnyOrder = 3
)

// writer has the decision that a decider is writing.
type writer struct {
	// pending is the decision to write; nil if there is none.
	pending *rollout.State
	// base is the revision of the decision in the store that pending replaces.
	base era.Revision
	// writing is set while a write is in progress.
	writing bool
	// writtenAt is when the last write succeeded, failingSince when the first one
	// without a success since began, and notBefore when the next one may begin.
	writtenAt, failingSince, notBefore time.Time
	backoff                            time.Duration
	// decidingSince is when this instance became the decider; zero while it isn't.
	decidingSince time.Time
	// failedBefore is set if writes failed to the end when it was the decider last, so
	// that one more failure suffices to leave the decisions to another instance.
	failedBefore bool
	// orderConflicts counts the conflicts that the known decisions don't explain.
	orderConflicts int
	anyOrder       bool
}

// decideAll decides on the services that this instance is the decider of.
func (c *controller) decideAll(ctx context.Context) {
	for _, name := range c.undecided() {
		if c.decider(name) == c.self {
			c.decide(ctx, name)
			continue
		}
		c.mu.Lock()
		c.services[name].endTerm()
		c.mu.Unlock()
	}
}

// endTerm notes that another instance decides.
func (s *service) endTerm() {
	s.decidingSince = time.Time{}
	if !s.failingSince.IsZero() {
		s.failingSince, s.failedBefore = time.Time{}, true
	}
}

// ready reports whether the instances that are available have reported to this decider,
// so that it has the evidence that its predecessor had. It doesn't wait for others
// forever. The caller holds mu.
func (c *controller) ready(svc *service, now time.Time) bool {
	if svc.decidingSince.IsZero() {
		svc.decidingSince = now
	}
	instances := len(c.current.Load().Instances)
	if now.Sub(svc.decidingSince) >= 2*(intervalOf(instances)+reportTimeout) {
		return true
	}
	for _, name := range c.owners.Ranked(ownerKeyPrefix+svc.name, instances) {
		if r := svc.reporters[name]; r == nil || r.at.Before(svc.decidingSince) {
			return false
		}
	}
	return true
}

func (c *controller) undecided() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name, svc := range c.services {
		if svc.active() || svc.pending != nil {
			out = append(out, name)
		}
	}
	return out
}

// decide makes the decision that is due on a service, if any, and starts to write it.
func (c *controller) decide(ctx context.Context, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	svc, now := c.services[name], c.clk.Now()
	if c.ready(svc, now) {
		in, g := c.input(svc, now)
		if next, changed := rollout.Decide(in, c.bounds); changed && c.entitled(in, next, g) {
			c.propose(svc, next, g, now)
		}
	}
	if svc.pending == nil && svc.unstored() {
		c.setPending(svc, svc.current)
	}
	if svc.writing || now.Before(svc.notBefore) {
		return
	}
	switch {
	case svc.pending != nil:
		c.startWrite(ctx, svc, *svc.pending, false)
	case svc.current.Phase == rollout.Running && sameDecision(svc.current, svc.stored) && now.Sub(svc.writtenAt) >= rewriteInterval:
		st := svc.current
		st.Elapsed = svc.elapsed(now)
		c.startWrite(ctx, svc, st, true)
	}
}

// entitled reports whether a decision may be made on the reports that there are. One that
// cannot hear most instances, and doesn't know what they have sent, makes no step; it rolls
// back by the faults that it knows of, but not because of the deadline.
func (c *controller) entitled(in rollout.Input, next rollout.State, g gathered) bool {
	if 2*g.reporting > len(c.current.Load().Instances) {
		return true
	}
	if next.Phase != rollout.RolledBack {
		return false
	}
	return in.Order == nil || in.Elapsed < in.Order.Duration || in.Elapsed >= in.Order.Duration+loneDecisionAfter
}

// input returns what the decision on a service depends on. The caller holds mu.
func (c *controller) input(svc *service, now time.Time) (rollout.Input, gathered) {
	g := svc.gather(c.current.Load(), now)
	usage := c.targets.RolloutUsage(svc.name, svc.target())
	in := rollout.Input{
		Order: svc.order, Elapsed: svc.elapsed(now), Sent: g.sent, InFlight: g.inFlight, BaselineAtMostOnce: g.baselineAtMostOnce, Runners: usage.Runners, BaselineVersions: usage.BaselineVersions, Unconfirmed: g.unconfirmed, CallTime: g.callTime,
	}
	if known(svc.current) {
		st := svc.current
		in.State = &st
		svc.history.Add(in.Elapsed, st, g.total)
	}
	svc.history.Fill(&in)
	return in, g
}

// propose takes over a new decision. A rollback is in force at once. All else is in force
// once it is in the store, and is dropped while another decision is being written. The
// caller holds mu.
func (c *controller) propose(svc *service, next rollout.State, g gathered, now time.Time) {
	rolledBack := next.Phase == rollout.RolledBack
	if svc.pending != nil && (!rolledBack || svc.pending.Phase == rollout.RolledBack) {
		return
	}
	next.Step = max(next.Step, svc.highestStep()+1)
	next.Revision, next.SeenAt = era.Revision{}, now
	c.logDecision(next, g)
	// A completion that may be in the store has ended the old runners, so that a rollback
	// counts only once the store has it.
	maybeCompleted := svc.pending != nil && svc.pending.Phase == rollout.Completed
	c.setPending(svc, next)
	if rolledBack && !maybeCompleted {
		c.adopt(svc, next, c.self)
	}
}

// setPending sets the decision to write next. The caller holds mu.
func (c *controller) setPending(svc *service, st rollout.State) {
	svc.pending, svc.base = &st, svc.stored.Revision
	svc.notBefore, svc.backoff = time.Time{}, 0
}

// highestStep returns the highest step that is known of any instance.
func (s *service) highestStep() int64 {
	step := max(s.current.Step, s.stored.Step)
	if s.pending != nil {
		step = max(step, s.pending.Step)
	}
	for _, r := range s.reporters {
		step = max(step, r.latest.Step)
	}
	return step
}

func (c *controller) logDecision(st rollout.State, g gathered) {
	all := g.total.Overall()
	c.log.Info("rollout decided", "service", st.Service, "target", st.Target, "order", st.OrderRevision, "step", st.Step, "phase", st.Phase, "share", st.Share,
		"runners", st.Runners, "elapsedMillis", st.Elapsed.Milliseconds(), "reason", st.Reason,
		"answers", all.Baseline.Answers, "failures", all.Baseline.Failures, "targetAnswers", all.Candidate.Answers, "targetFailures", all.Candidate.Failures,
		"medianMillis", all.Baseline.Quantile(0.5).Milliseconds(), "targetMedianMillis", all.Candidate.Quantile(0.5).Milliseconds(),
		"targetSent", g.sent.Candidate, "inFlight", g.inFlight.Baseline, "targetInFlight", g.inFlight.Candidate, "reporting", g.reporting, "unconfirmed", g.unconfirmed)
}

// startWrite writes a decision in the background. The caller holds mu.
func (c *controller) startWrite(ctx context.Context, svc *service, st rollout.State, repeated bool) {
	w := Write{State: st, StateRevision: svc.stored.Revision, AnyOrder: svc.anyOrder, Repeated: repeated}
	if svc.order != nil {
		w.OrderRevision = svc.order.Revision
	}
	svc.writing = true
	began := c.clk.Now()
	c.group.Go(func() {
		writing, cancel := context.WithTimeout(ctx, writeTimeout)
		revision, err := c.records.Write(writing, w)
		cancel()
		c.noteWrite(svc, w, revision, err, began)
		if err != nil && ctx.Err() == nil {
			c.readOutcome(ctx, svc, w, fault.Is(err, fault.Conflict))
		}
		c.mu.Lock()
		svc.writing = false
		c.mu.Unlock()
	})
}

// noteWrite takes over the outcome of a write.
func (c *controller) noteWrite(svc *service, w Write, revision era.Revision, err error, began time.Time) {
	now := c.clk.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.stats.WriteErrors++
		if svc.failingSince.IsZero() && !fault.Is(err, fault.Conflict) {
			svc.failingSince = began
			if svc.failedBefore {
				svc.failingSince = began.Add(-writeFailingAfter)
			}
		}
		svc.backoff = min(max(2*svc.backoff, minWriteBackoff), maxWriteBackoff)
		svc.notBefore = now.Add(svc.backoff)
		c.log.Warn("rollout decision not written", "service", svc.name, "order", w.State.OrderRevision, "step", w.State.Step, "phase", w.State.Phase, "error", err)
		return
	}
	c.stats.Writes++
	svc.writtenAt, svc.failingSince, svc.backoff, svc.orderConflicts = now, time.Time{}, 0, 0
	svc.failedBefore = false
	st := w.State
	// The time that the write took has elapsed, too.
	st.Revision, st.SeenAt = revision, began
	c.noteStored(svc, st, c.self)
}

// readOutcome reads from the store what a failed write may have changed.
func (c *controller) readOutcome(ctx context.Context, svc *service, w Write, conflict bool) {
	reading, cancel := context.WithTimeout(ctx, refreshTimeout)
	err := c.refresh(reading)
	cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	orderKnown := !w.OrderRevision.Stored() && svc.order == nil || svc.order != nil && svc.order.Revision == w.OrderRevision
	if err != nil || !conflict || !orderKnown || svc.stored.Revision != w.StateRevision {
		svc.orderConflicts = 0
		return
	}
	if svc.orderConflicts++; svc.orderConflicts >= conflictsForAnyOrder {
		svc.anyOrder = true
	}
}

// settlePending drops the decision that is being written once the store has one that it
// isn't based on: it is either the same one, written without an answer, or another
// decider's. Only a rollback is written over the latter. The caller holds mu.
func (c *controller) settlePending(svc *service) {
	switch p := svc.pending; {
	case p == nil || svc.base == svc.stored.Revision:
	case ended(svc.stored) && !svc.stored.Order().Before(p.Order()), p.Phase != rollout.RolledBack, svc.stored.Order().After(p.Order()):
		svc.pending = nil
	default:
		// The rollback replaces what another decider has written.
		p.Step = max(p.Step, svc.stored.Step+1)
		svc.base = svc.stored.Revision
	}
}
