package roster

import (
	"context"
	"encoding/json"
	"sync"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/roster/hold"
)

// methodAsk carries a hold.Ask, answered by a hold.Reply.
const methodAsk = "roster.ask"

// read reads the view from the store, once a period and when woken.
func (r *roster) read(ctx context.Context) {
	for ctx.Err() == nil {
		wait := r.readEvery
		if err := r.readOnce(ctx); err != nil {
			r.log.Warn("view not read", "error", err)
			wait = r.retryEvery
		}
		select {
		case <-ctx.Done():
		case <-r.look:
		case <-r.clock.After(wait):
		}
	}
}

func (r *roster) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.callWithin)
	defer cancel()
	start := r.clock.Now()
	entry, _, err := r.store.Get(ctx, ViewKey)
	if err != nil {
		return err
	}
	var read hold.ViewRead
	if entry != nil {
		read.Revision = entry.Revision
		if err := json.Unmarshal(entry.Value, &read.View); err != nil {
			return fault.Wrap(fault.Internal, err, "decode the view").WithField(ViewKey)
		}
	}
	r.update(func(m hold.Machine) { m.HandleRead(r.clock.Now(), start, read) })
	return nil
}

// propose attempts the writes that the machine wants.
func (r *roster) propose(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-r.write:
			result := r.writeOnce(ctx, w)
			r.log.Info("view proposed", "epoch", w.View.Epoch, "members", w.View.Members, "result", result)
			r.update(func(m hold.Machine) { m.HandleWriteResult(r.clock.Now(), w, result) })
			wake(r.look)
		}
	}
}

func (r *roster) writeOnce(ctx context.Context, w hold.ViewWrite) hold.WriteResult {
	ctx, cancel := context.WithTimeout(ctx, r.callWithin)
	defer cancel()
	value, err := json.Marshal(w.View)
	if err != nil {
		return hold.Conflict
	}
	_, err = r.store.Put(ctx, platformapi.PutRequest{Key: ViewKey, Value: value, IfRevision: &w.IfRevision})
	switch {
	case err == nil:
		return hold.Written
	case fault.Is(err, fault.Conflict):
		return hold.Conflict
	default:
		return hold.OutcomeUnknown
	}
}

// ask asks the other members once a period, more often while the view is not
// yet in effect.
func (r *roster) ask(ctx context.Context) {
	for ctx.Err() == nil {
		r.askOnce(ctx)
		wait := r.askEvery
		if !r.State().Effective {
			wait = r.unsettledEvery
		}
		select {
		case <-ctx.Done():
		case <-r.gather:
		case <-r.clock.After(wait):
		}
	}
}

// askOnce runs one round of asking.
func (r *roster) askOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(instance.Repeatable(ctx), r.askWithin)
	defer cancel()
	var ask hold.Ask
	var targets []hold.Member
	r.update(func(m hold.Machine) { ask, targets = m.StartRound(r.clock.Now()) })
	var calls sync.WaitGroup
	for _, target := range targets {
		calls.Go(func() {
			var reply hold.Reply
			if err := r.mesh.Call(ctx, target.ID, methodAsk, ask, &reply); err != nil {
				r.log.Debug("member did not reply", "instance", target.ID, "error", err)
				return
			}
			r.update(func(m hold.Machine) { m.HandleReply(r.clock.Now(), reply) })
		})
	}
	calls.Wait()
}

func (r *roster) asked(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var ask hold.Ask
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode parameters").WithField(methodAsk)
	}
	var reply hold.Reply
	r.update(func(m hold.Machine) { reply = m.HandleAsk(r.clock.Now(), ask) })
	return reply, nil
}
