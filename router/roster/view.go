package roster

import (
	"context"
	"encoding/json"
	"sync"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/roster/viewlease"
)

// methodAsk is the mesh method whose request is a viewlease.PromiseRequest and whose response
// is a viewlease.PromiseReply.
const methodAsk = "roster.ask"

// readLoop reads the view from the store at intervals and when woken.
func (r *roster) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := r.readInterval
		if err := r.readView(ctx); err != nil {
			r.log.Warn("cannot read the view", "error", err)
			wait = r.retryDelay
		}
		select {
		case <-ctx.Done():
		case <-r.wakeRead:
		case <-r.clock.After(wait):
		}
	}
}

func (r *roster) readView(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	start := r.clock.Now()
	entry, _, err := r.store.Get(ctx, ViewKey)
	if err != nil {
		return err
	}
	var read viewlease.ViewRead
	if entry != nil {
		read.Revision = entry.Revision
		if err := json.Unmarshal(entry.Value, &read.View); err != nil {
			return fault.Wrap(fault.Internal, err, "decode the view").WithField(ViewKey)
		}
	}
	r.update(func(m viewlease.Machine) { m.HandleRead(r.clock.Now(), start, read) })
	return nil
}

// writeLoop attempts the writes that the machine proposes.
func (r *roster) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-r.writes:
			result := r.writeView(ctx, w)
			r.log.Info("view write attempted", "epoch", w.View.Epoch, "members", w.View.Members, "result", result)
			r.update(func(m viewlease.Machine) { m.HandleWriteResult(r.clock.Now(), w, result) })
			wake(r.wakeRead)
		}
	}
}

func (r *roster) writeView(ctx context.Context, w viewlease.ViewWrite) viewlease.WriteResult {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	value, err := json.Marshal(w.View)
	if err != nil {
		return viewlease.Conflict
	}
	_, err = r.store.Put(ctx, platformapi.PutRequest{Key: ViewKey, Value: value, IfRevision: &w.IfRevision})
	switch {
	case err == nil:
		return viewlease.Written
	case fault.Is(err, fault.Conflict):
		return viewlease.Conflict
	default:
		return viewlease.OutcomeUnknown
	}
}

// roundLoop sends promise requests to the other members in rounds, which are more
// frequent while the view is not yet in effect.
func (r *roster) roundLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.runRound(ctx)
		wait := r.roundInterval
		if !r.State().Effective {
			wait = r.transitionInterval
		}
		select {
		case <-ctx.Done():
		case <-r.wakeRound:
		case <-r.clock.After(wait):
		}
	}
}

// runRound runs one round of promise requests.
func (r *roster) runRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(instance.MarkIdempotent(ctx), r.roundTimeout)
	defer cancel()
	var ask viewlease.PromiseRequest
	var targets []viewlease.Member
	r.update(func(m viewlease.Machine) { ask, targets = m.StartRound(r.clock.Now()) })
	var calls sync.WaitGroup
	for _, target := range targets {
		calls.Go(func() {
			var reply viewlease.PromiseReply
			if err := r.mesh.Call(ctx, target.ID, methodAsk, ask, &reply); err != nil {
				r.log.Debug("member did not reply", "instance", target.ID, "error", err)
				return
			}
			r.update(func(m viewlease.Machine) { m.HandleReply(r.clock.Now(), reply) })
		})
	}
	calls.Wait()
}

func (r *roster) handleAsk(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var ask viewlease.PromiseRequest
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode parameters").WithField(methodAsk)
	}
	var reply viewlease.PromiseReply
	r.update(func(m viewlease.Machine) { reply = m.HandleAsk(r.clock.Now(), ask) })
	return reply, nil
}
