package roll

import (
	"context"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"golang.org/x/sync/errgroup"
)

// collectAcks requests acknowledgements until every participant has
// acknowledged the phase of r or some participant blocks it, and returns the
// participants and the blockers. After the last acknowledgement it lists the
// participants again, so that an instance that joined in between is not
// missed.
func (d *coordinator) collectAcks(ctx context.Context, r operatorapi.Version) (participantSet, []blocker, error) {
	for {
		w, err := d.participants(ctx, r)
		if err != nil {
			return w, nil, err
		}
		missing := d.missingAcks(w)
		if len(missing) == 0 {
			return w, nil, nil
		}
		blockers := d.requestAcks(ctx, r, w, missing)
		if len(blockers) > 0 || ctx.Err() != nil {
			return w, blockers, ctx.Err()
		}
	}
}

// participantSet holds the instances whose acknowledgement a phase needs. The
// value is false for an instance that is treated as gone when it does not
// answer.
type participantSet map[string]bool

// participants returns the registered instances, those on the platform's list,
// those that acknowledgements reported as joining, and those recorded with the
// decision. An instance that is only recorded with the decision is treated as
// gone if it does not answer and no acknowledgement has reported it by the
// time all others have acknowledged.
func (d *coordinator) participants(ctx context.Context, r operatorapi.Version) (participantSet, error) {
	call, cancel := context.WithTimeout(ctx, d.cfg.stageTimeout)
	defer cancel()
	registered, err := d.lister.ListRegistered(call)
	if err != nil {
		return nil, fault.Wrap(fault.StoreUnavailable, err, "registered instances")
	}
	listed, err := d.lister.List(call)
	if err != nil {
		return nil, fault.Wrap(fault.StoreUnavailable, err, "platform's list of instances")
	}
	w := participantSet{}
	for _, id := range r.Members {
		w[id] = false
	}
	for _, id := range registered {
		w[id] = true
	}
	for _, p := range listed {
		w[p.ID] = true
	}
	for id := range d.reportedJoining {
		w[id] = true
	}
	return w, nil
}

// missingAcks returns the participants that have not acknowledged the phase,
// or whose acknowledgement of a staged version has expired.
func (d *coordinator) missingAcks(w participantSet) []string {
	now := d.clock.Now()
	var ids []string
	for id := range w {
		at, ok := d.ackedAt[id]
		if !w[id] && d.unresponsive[id] {
			continue
		}
		if !ok || (d.phase == operatorapi.Staging && now.Sub(at) > d.cfg.ackLifetime) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// ackResult is the result of one call to an instance.
type ackResult struct {
	id  string
	ack Ack
	err error
}

// requestAcks calls the instances without an acknowledgement, records the
// acknowledgements and returns the instances that block the rollout.
func (d *coordinator) requestAcks(ctx context.Context, r operatorapi.Version, w participantSet, missing []string) []blocker {
	var answers []ackResult
	if r.Phase == operatorapi.Staging {
		answers = d.stageAll(ctx, reference(r), missing)
	} else {
		answers = d.applyAll(ctx, reference(r), missing)
	}
	now := d.clock.Now()
	var blockers []blocker
	for _, a := range answers {
		if a.err != nil {
			delete(d.ackedAt, a.id)
			d.unresponsive[a.id] = true
			if w[a.id] {
				blockers = append(blockers, blocker{Instance: a.id, Reason: blockReason(a.err)})
			}
			continue
		}
		d.ackedAt[a.id] = now
		for _, g := range a.ack.Joining {
			d.reportedJoining[g] = true
		}
	}
	return blockers
}

// blockReason returns the reason why an instance blocks a rollout, as shown to
// operators.
func blockReason(err error) string {
	e := fault.Of(err)
	switch e.Kind() {
	case fault.BadRequest:
		return "refuses the bundle: " + e.Error()
	case fault.NotFound, fault.StoreUnavailable:
		return "cannot fetch the bundle: " + e.Error()
	default:
		return "neither acknowledged nor known gone: " + e.Error()
	}
}

// applyAll sends apply requests for ref to all ids.
func (d *coordinator) applyAll(ctx context.Context, ref Reference, ids []string) []ackResult {
	answers := make([]ackResult, len(ids))
	var g errgroup.Group
	g.SetLimit(d.cfg.maxConcurrentCalls)
	for i, id := range ids {
		g.Go(func() error {
			answers[i] = d.send(ctx, id, methodApply, ref.WithSource(d.self.ID))
			return nil
		})
	}
	_ = g.Wait() // each answer carries its own error
	return answers
}

// stageAll makes each of ids fetch and verify ref. Instances that have the
// content become sources for the others, so that no single instance sends it
// to all.
func (d *coordinator) stageAll(ctx context.Context, ref Reference, ids []string) []ackResult {
	answers := make([]ackResult, len(ids))
	sources := make(chan string, (len(ids)+1)*(d.cfg.fetchesPerSource+1))
	addSource := func(id string) {
		for range d.cfg.fetchesPerSource {
			sources <- id
		}
	}
	addSource(d.self.ID)
	var wg sync.WaitGroup
	for i, id := range ids {
		wg.Go(func() {
			source := <-sources
			answers[i] = d.send(ctx, id, methodStage, ref.WithSource(source))
			sources <- source
			if answers[i].err == nil && id != d.self.ID {
				addSource(id)
			}
		})
	}
	wg.Wait()
	return answers
}

// timeoutOf returns the timeout of a call. Applying has a shorter one, because
// an instance that has acknowledged the staged version need not fetch it.
func (d *coordinator) timeoutOf(method string) time.Duration {
	if method == methodStage {
		return d.cfg.stageTimeout
	}
	return d.cfg.applyTimeout
}

// send calls one instance; a call to this instance does not use the mesh.
func (d *coordinator) send(ctx context.Context, id, method string, ref Reference) ackResult {
	call, cancel := context.WithTimeout(ctx, d.timeoutOf(method))
	defer cancel()
	a := ackResult{id: id}
	switch {
	case id != d.self.ID:
		a.err = d.mesh.Call(call, id, method, ref, &a.ack)
	case method == methodStage:
		a.ack, a.err = d.onStage(call, id, ref.WithSource(""))
	default:
		a.ack, a.err = d.onApply(call, id, ref.WithSource(""))
	}
	if a.err == nil && method == methodApply {
		a.err = a.ack.covers(ref)
	}
	return a
}
