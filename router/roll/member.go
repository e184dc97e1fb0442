package roll

import (
	"context"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/platformapi"
)

// onStage fetches and checks a version.
func (n *node) onStage(ctx context.Context, _ string, ref Reference) (Ack, error) {
	if ref.Version > n.version() {
		if _, err := n.hold(ctx, ref); err != nil {
			return Ack{}, err
		}
	}
	return n.ack(), nil
}

// onApply brings a decided version in force.
func (n *node) onApply(ctx context.Context, _ string, ref Reference) (Ack, error) {
	if err := n.bring(ctx, ref); err != nil {
		return Ack{}, err
	}
	return n.ack(), nil
}

func (n *node) ack() Ack {
	a := Ack{Guests: n.guests.list()}
	if in := n.inForce.Load(); in != nil {
		a.InForce, a.Digest = in.ref.Version, in.ref.Digest
	}
	return a
}

func (n *node) onStatus(context.Context, string, statusRequest) (Status, error) {
	return n.status(), nil
}

// onJoin answers a starting instance. It becomes a guest first, so that no
// later acknowledgement of this instance leaves it out.
func (n *node) onJoin(_ context.Context, from string, _ joinRequest) (Status, error) {
	n.guests.add(from, n.clock.Now())
	return n.status(), nil
}

func (n *node) onManifest(_ context.Context, _ string, r manifestRequest) (manifestAnswer, error) {
	s, ok := n.find(r.Digest)
	if !ok {
		return manifestAnswer{}, notHeld(r.Digest)
	}
	return manifestAnswer{Parts: s.data.manifest()}, nil
}

func (n *node) onParts(_ context.Context, _ string, r partsRequest) (partsAnswer, error) {
	return n.parts(r)
}

// status returns what this instance tells others of itself.
func (n *node) status() Status {
	now := n.clock.Now()
	s := Status{Serving: n.started.Load() && !n.pauses.Paused(now)}
	if in := n.inForce.Load(); in != nil {
		s.InForce = in.ref
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Driving = n.driving
	s.Waiting = n.waiting
	s.Stored = now.Sub(n.storedAt) < n.cfg.watchWait+n.cfg.callTimeout
	return s
}

// guests are instances that took the bundle in force from this one. A roll
// counts them although the store and the platform's list may not show them.
type guests struct {
	mu    sync.Mutex
	since map[string]time.Time
}

func (g *guests) add(id string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.since[id] = now
}

func (g *guests) list() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	ids := make([]string, 0, len(g.since))
	for id := range g.since {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// forget drops the guests that have been here since before old.
func (g *guests) forget(old time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, at := range g.since {
		if at.Before(old) {
			delete(g.since, id)
		}
	}
}

// watches reports whether this instance watches the store.
func (n *node) watches(ctx context.Context) bool {
	_, ok := n.view.Rank(ctx)
	return ok
}

// follow watches the state in the store while this instance is a watcher.
func (n *node) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		if !n.watches(ctx) {
			_ = n.clock.Sleep(ctx, n.cfg.exchangePeriod)
			continue
		}
		v, err := n.readState(ctx)
		for err == nil && ctx.Err() == nil && n.watches(ctx) {
			v, err = n.watchState(ctx, v)
		}
		if err != nil {
			_ = n.clock.Sleep(ctx, n.cfg.retryPause)
		}
	}
	return nil
}

// watchState waits for the state after v.
func (n *node) watchState(ctx context.Context, v versioned) (versioned, error) {
	w, err := n.store.Watch(ctx, platformapi.WatchRequest{
		Prefix: stateKey, After: v.asOf, WaitMillis: n.cfg.watchWait.Milliseconds(),
	})
	if err != nil {
		return v, err
	}
	if w.Lost {
		return n.readState(ctx)
	}
	n.learn(v)
	v.asOf = max(v.asOf, w.Revision)
	for _, e := range w.Events {
		if e.Entry.Key != stateKey || e.Deleted {
			continue
		}
		next, err := decodeState(&e.Entry)
		if err != nil {
			return v, err
		}
		next.asOf = max(v.asOf, next.revision)
		n.learn(next)
		v = next
	}
	return v, n.applyDecided(ctx, v.State, "")
}

// exchange asks one other instance at a time what is in force there, and takes
// a later version from it.
func (n *node) exchange(ctx context.Context) error {
	for turn := 0; n.clock.Sleep(ctx, n.cfg.exchangePeriod) == nil; turn++ {
		n.guests.forget(n.clock.Now().Add(-n.cfg.guestPatience))
		if to, ok := n.view.Partner(ctx, turn); ok {
			n.exchangeWith(ctx, to)
		}
	}
	return nil
}

func (n *node) exchangeWith(ctx context.Context, to string) {
	call, cancel := context.WithTimeout(ctx, n.cfg.callTimeout)
	defer cancel()
	var s Status
	err := n.mesh.Call(call, to, methodStatus, statusRequest{InForce: n.version()}, &s)
	if err != nil || s.InForce.Version <= n.version() {
		return
	}
	fetch, cancel := context.WithTimeout(ctx, n.cfg.stageTimeout)
	defer cancel()
	if err := n.bring(fetch, s.InForce.WithSource(to)); err != nil {
		n.log.Debug("bundle not taken from instance", "instance", to, "error", err)
	}
}
