package quarantine

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/inventory"
)

const (
	// maxAsked bounds the instances that are asked for answers before a quarantine is
	// written, and askTimeout the time for it.
	maxAsked   = 16
	askTimeout = 150 * time.Millisecond
	// storeTimeout bounds one write to the store, which takes two calls. firstBackoff is
	// the time between two, which doubles after each failure, up to lastBackoff.
	storeTimeout = 800 * time.Millisecond
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = time.Second
	// readDelay is the time after which a write to the store is in the snapshot. It is
	// repeated otherwise.
	readDelay = 2 * time.Second
	// minLife is the life that is left of a quarantine from which it is written again. The
	// store grants no shorter leases.
	minLife = 5 * time.Second
	// maxInForce is the number of quarantines above which no more are written.
	maxInForce = 64
)

// Store keeps the quarantines in force. A quarantine ends after its life.
type Store interface {
	Put(ctx context.Context, q inventory.Quarantine, life time.Duration) error
	Remove(ctx context.Context, id string) error
}

// answersRequest asks which parts of a service had an answer within a time.
type answersRequest struct {
	Service      string   `json:"service"`
	Parts        []string `json:"parts"`
	WithinMillis int64    `json:"withinMillis"`
}

type answersResponse struct {
	Parts []string `json:"parts,omitempty"`
}

// accept adds a report to the evidence of this instance.
func (g *guard) accept(from string, r report) {
	now := g.clk.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range r.Suspects[:min(len(r.Suspects), maxRepeated+maxReported)] {
		if !g.detector.Report(from, s, now) {
			continue
		}
		g.log.Info("prompt parts suspected", "service", s.Service, "runner", s.Runner, "zone", s.Zone, "parts", s.Parts, "agoMillis", s.AgeMillis, "reporter", from)
	}
	inForce := g.current.Load().Quarantines
	for _, a := range r.Answered[:min(len(r.Answered), maxReported)] {
		g.detector.Answered(a.Service, []string{a.Part}, now)
		for _, q := range inForce {
			if q.Service == a.Service && slices.Contains(q.Parts, a.Part) {
				g.withdraw(*q, now, a.Part)
			}
		}
	}
	wake(g.toDecide)
}

// withdraw takes parts out of a quarantine in force. The caller holds mu.
func (g *guard) withdraw(q inventory.Quarantine, now time.Time, parts ...string) {
	if now.Sub(g.removed[q.ID]) < readDelay {
		return
	}
	rest, ok := g.withdrawn[q.ID]
	if !ok {
		rest = q
	}
	rest, _ = without(rest, parts)
	g.withdrawn[q.ID] = rest
}

// keepQuarantines writes and removes quarantines until ctx ends.
func (g *guard) keepQuarantines(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.toDecide:
		}
		for backoff := firstBackoff; ctx.Err() == nil; {
			more, err := g.settleOne(ctx)
			if !more {
				break
			}
			_ = g.clk.Sleep(ctx, backoff)
			backoff = min(2*backoff, lastBackoff)
			if err == nil {
				backoff = firstBackoff
			}
		}
	}
}

// settleOne makes one write to the store, and reports whether more may be due.
func (g *guard) settleOne(ctx context.Context) (more bool, err error) {
	due, old := g.due()
	if due != nil && !due.Revision.Carried() && g.refutedByAnswers(ctx, *due) {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch {
	case due != nil:
		err = g.store.Put(ctx, *due, lifeOf(*due, g.clk.Now()))
		g.log.Warn("quarantine written", "quarantine", due.ID, "service", due.Service, "parts", due.Parts, "evidenceMillis", due.Evidence.Milliseconds(), "error", err)
		if err == nil {
			g.mu.Lock()
			g.written[due.ID] = g.clk.Now()
			g.mu.Unlock()
		}
	case old != "":
		err = g.store.Remove(ctx, old)
		g.log.Info("quarantine withdrawn", "quarantine", old, "error", err)
		if err == nil {
			g.mu.Lock()
			delete(g.withdrawn, old)
			delete(g.written, old)
			g.removed[old] = g.clk.Now()
			g.mu.Unlock()
		}
	default:
		return g.awaitsRead(), nil
	}
	return true, err
}

// refutedByAnswers asks other instances whether parts of a quarantine had an answer
// since the first crash, and clears the evidence for them. Instances that don't
// answer in time are passed over.
func (g *guard) refutedByAnswers(ctx context.Context, q inventory.Quarantine) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req := answersRequest{Service: q.Service, Parts: q.Parts, WithinMillis: q.Evidence.Milliseconds()}
	var group sync.WaitGroup
	var mu sync.Mutex
	var answered []string
	for _, name := range g.owners.Ranked(q.ID, maxAsked) {
		if name == g.self {
			continue
		}
		group.Go(func() {
			var resp answersResponse
			if err := g.mesh.Call(instance.MarkIdempotent(ctx), name, methodAnswers, req, &resp); err != nil {
				g.log.Debug("instance not asked for answers", "instance", name, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, resp.Parts...)
		})
	}
	group.Wait()
	answered = slices.DeleteFunc(answered, func(p string) bool { return !slices.Contains(q.Parts, p) })
	if len(answered) == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Answered(q.Service, answered, g.clk.Now())
	if rest, ok := g.withdrawn[q.ID]; ok {
		g.withdrawn[q.ID], _ = without(rest, answered)
	}
	return true
}

func (g *guard) serveAnswers(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req answersRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode a question").WithField(methodAnswers)
	}
	within := min(max(0, req.WithinMillis), evidenceLife.Milliseconds())
	at := g.clk.Now().Add(-time.Duration(within) * time.Millisecond)
	return answersResponse{Parts: g.answers.since(req.Service, req.Parts, at)}, nil
}

// due returns a quarantine to write, or the identifier of one to remove.
func (g *guard) due() (*inventory.Quarantine, string) {
	now := g.clk.Now()
	inForce := g.current.Load().Quarantines
	g.mu.Lock()
	defer g.mu.Unlock()
	missing := func(q inventory.Quarantine) bool {
		known := inForce[q.ID]
		return (known == nil || known.Revision.Carried()) && now.Sub(g.written[q.ID]) >= readDelay && len(inForce) < maxInForce
	}
	for _, q := range g.decide(inForce, now) {
		if missing(q) {
			return &q, ""
		}
	}
	for _, q := range g.lost(inForce, now) {
		if missing(*q) {
			return q, ""
		}
	}
	if len(g.withdrawn) == 0 {
		return nil, ""
	}
	id := slices.Min(slices.Collect(maps.Keys(g.withdrawn)))
	if rest := g.withdrawn[id]; len(rest.Parts) > 0 && missing(rest) {
		return &rest, ""
	}
	return nil, id
}

// lost returns the quarantines that this instance has to write again, since the store came
// back without them. The caller holds mu.
func (g *guard) lost(inForce map[string]*inventory.Quarantine, now time.Time) []*inventory.Quarantine {
	var out []*inventory.Quarantine
	for id, q := range inForce {
		if _, withdrawn := g.withdrawn[id]; !withdrawn && q.Revision.Carried() && lifeOf(*q, now) >= minLife && g.owns() {
			out = append(out, q)
		}
	}
	return out
}

// lifeOf returns the life that is left of a quarantine: all of it, unless it is written again
// since the store lost it.
func lifeOf(q inventory.Quarantine, now time.Time) time.Duration {
	if !q.Revision.Carried() {
		return Life
	}
	return q.SeenAt.Add(Life).Sub(now)
}

// owns reports whether this instance collects the evidence.
func (g *guard) owns() bool { return slices.Contains(g.owners.Ranked(ownerKey, ownerCount), g.self) }

// decide returns the quarantines that the evidence calls for, without the parts
// that had an answer at this instance. The caller holds mu.
func (g *guard) decide(inForce map[string]*inventory.Quarantine, now time.Time) []inventory.Quarantine {
	var known []inventory.Quarantine
	for _, q := range inForce {
		known = append(known, *q)
	}
	for {
		list, refuted := g.detector.Decide(known, now)
		for _, id := range refuted {
			g.withdraw(inventory.Quarantine{ID: id}, now)
		}
		cleared := false
		for _, q := range list {
			if answered := g.answers.since(q.Service, q.Parts, now.Add(-q.Evidence)); len(answered) > 0 {
				g.detector.Answered(q.Service, answered, now)
				cleared = true
			}
		}
		if !cleared {
			return list
		}
	}
}

// awaitsRead reports whether a write isn't in the snapshot yet, and forgets the
// others.
func (g *guard) awaitsRead() bool {
	now := g.clk.Now()
	inForce := g.current.Load().Quarantines
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.written, func(id string, at time.Time) bool {
		return inForce[id] != nil && !inForce[id].Revision.Carried() || now.Sub(at) >= 2*readDelay
	})
	maps.DeleteFunc(g.removed, func(_ string, at time.Time) bool { return now.Sub(at) >= readDelay })
	return len(g.written) > 0
}
