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

// collect asks every wanted instance for its acknowledgement until all that
// are wanted have given it, and returns those that hold the roll. Instances
// are listed again after the last acknowledgement.
func (d *driver) collect(ctx context.Context, r operatorapi.Version) (wantedSet, []waiting, error) {
	for {
		w, err := d.wanted(ctx, r)
		if err != nil {
			return w, nil, err
		}
		missing := d.missing(w)
		if len(missing) == 0 {
			return w, nil, nil
		}
		held := d.ask(ctx, r, w, missing)
		if len(held) > 0 || ctx.Err() != nil {
			return w, held, ctx.Err()
		}
	}
}

// wantedSet are the instances whose acknowledgement a phase needs. The value
// is false for one that counts as gone when it does not answer.
type wantedSet map[string]bool

// wanted lists the instances: those registered, those that the platform's list
// shows, those that acknowledgements named, and those that were recorded with
// the decision. Of the last, one that does not answer is gone if it is neither
// registered nor listed, and nobody named it by the time that all others have
// acknowledged.
func (d *driver) wanted(ctx context.Context, r operatorapi.Version) (wantedSet, error) {
	call, cancel := context.WithTimeout(ctx, d.cfg.stageTimeout)
	defer cancel()
	registered, err := d.fleet.Registered(call)
	if err != nil {
		return nil, fault.Wrap(fault.StoreUnavailable, err, "registered instances")
	}
	listed, err := d.fleet.Listed(call)
	if err != nil {
		return nil, fault.Wrap(fault.StoreUnavailable, err, "platform's list of instances")
	}
	w := wantedSet{}
	for _, id := range r.Members {
		w[id] = false
	}
	for _, id := range registered {
		w[id] = true
	}
	for _, p := range listed {
		w[p.ID] = true
	}
	for id := range d.named {
		w[id] = true
	}
	return w, nil
}

// missing returns the wanted instances without a fresh acknowledgement.
func (d *driver) missing(w wantedSet) []string {
	now := d.clock.Now()
	var ids []string
	for id := range w {
		at, ok := d.acked[id]
		if !w[id] && d.silent[id] {
			continue
		}
		if !ok || (d.phase == operatorapi.Staging && now.Sub(at) > d.cfg.ackAge) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// answer is what one instance said.
type answer struct {
	id  string
	ack Ack
	err error
}

// ask calls the missing instances and takes in their acknowledgements.
func (d *driver) ask(ctx context.Context, r operatorapi.Version, w wantedSet, missing []string) []waiting {
	var answers []answer
	if r.Phase == operatorapi.Staging {
		answers = d.stageAll(ctx, reference(r), missing)
	} else {
		answers = d.applyAll(ctx, reference(r), missing)
	}
	now := d.clock.Now()
	var held []waiting
	for _, a := range answers {
		if a.err != nil {
			delete(d.acked, a.id)
			d.silent[a.id] = true
			if w[a.id] {
				held = append(held, waiting{Instance: a.id, Reason: reason(a.err)})
			}
			continue
		}
		d.acked[a.id] = now
		for _, g := range a.ack.Guests {
			d.named[g] = true
		}
	}
	return held
}

// reason tells operators why an instance holds a roll.
func reason(err error) string {
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

// applyAll brings ref in force on each of ids.
func (d *driver) applyAll(ctx context.Context, ref Reference, ids []string) []answer {
	answers := make([]answer, len(ids))
	var g errgroup.Group
	g.SetLimit(d.cfg.fanOut)
	for i, id := range ids {
		g.Go(func() error {
			answers[i] = d.send(ctx, id, methodApply, ref.WithSource(d.self.ID))
			return nil
		})
	}
	_ = g.Wait() // each answer carries its own error
	return answers
}

// stageAll lets each of ids fetch and check ref. Those that hold it become
// sources for the others, so that no instance sends it to all.
func (d *driver) stageAll(ctx context.Context, ref Reference, ids []string) []answer {
	answers := make([]answer, len(ids))
	sources := make(chan string, (len(ids)+1)*(d.cfg.perSource+1))
	offer := func(id string) {
		for range d.cfg.perSource {
			sources <- id
		}
	}
	offer(d.self.ID)
	var wg sync.WaitGroup
	for i, id := range ids {
		wg.Go(func() {
			source := <-sources
			answers[i] = d.send(ctx, id, methodStage, ref.WithSource(source))
			sources <- source
			if answers[i].err == nil && id != d.self.ID {
				offer(id)
			}
		})
	}
	wg.Wait()
	return answers
}

// timeoutOf bounds a call. An instance that has acknowledged the staged version
// needs no time to fetch it.
func (d *driver) timeoutOf(method string) time.Duration {
	if method == methodStage {
		return d.cfg.stageTimeout
	}
	return d.cfg.applyTimeout
}

// send calls one instance, or this one without the mesh.
func (d *driver) send(ctx context.Context, id, method string, ref Reference) answer {
	call, cancel := context.WithTimeout(ctx, d.timeoutOf(method))
	defer cancel()
	a := answer{id: id}
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
