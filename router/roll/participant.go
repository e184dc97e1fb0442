package roll

import (
	"context"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/platformapi"
)

// onStage fetches and verifies a version.
func (n *node) onStage(ctx context.Context, _ string, ref Reference) (Ack, error) {
	if ref.Version > n.version() {
		if _, err := n.getOrFetch(ctx, ref); err != nil {
			return Ack{}, err
		}
	}
	return n.ack(), nil
}

// onApply puts a decided version in force.
func (n *node) onApply(ctx context.Context, _ string, ref Reference) (Ack, error) {
	if err := n.applyAndLog(ctx, ref); err != nil {
		return Ack{}, err
	}
	return n.ack(), nil
}

func (n *node) ack() Ack {
	a := Ack{Joining: n.joining.list()}
	if in := n.inForce.Load(); in != nil {
		a.InForce, a.Digest = in.ref.Version, in.ref.Digest
	}
	return a
}

func (n *node) onStatus(context.Context, string, statusRequest) (Status, error) {
	return n.status(), nil
}

// onJoin answers an instance that starts or resumes after a pause. It records
// the instance as joining before it reads the status, so that every later
// acknowledgement from here reports the instance.
func (n *node) onJoin(_ context.Context, from string, _ joinRequest) (Status, error) {
	n.joining.add(from, n.clock.Now())
	return n.status(), nil
}

func (n *node) onManifest(_ context.Context, _ string, r manifestRequest) (manifestAnswer, error) {
	s, ok := n.find(r.Digest)
	if !ok {
		return manifestAnswer{}, errNoContent(r.Digest)
	}
	return manifestAnswer{Parts: s.data.manifest()}, nil
}

func (n *node) onParts(_ context.Context, _ string, r partsRequest) (partsAnswer, error) {
	return n.parts(r)
}

// status returns this instance's Status for other instances.
func (n *node) status() Status {
	now := n.clock.Now()
	s := Status{Serving: n.started.Load() && !n.pauses.Paused(now)}
	if in := n.inForce.Load(); in != nil {
		s.InForce = in.ref
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Coordinating = n.coordinating
	s.Blockers = n.blockers
	s.StoreReachable = now.Sub(n.storeAnsweredAt) < n.cfg.watchWait+n.cfg.callTimeout
	return s
}

// joinTracker records the instances that read the version in force from this
// one. A rollout waits for them too, although the store and the platform's
// list may not show them yet.
type joinTracker struct {
	mu       sync.Mutex
	joinedAt map[string]time.Time
}

func (g *joinTracker) add(id string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.joinedAt[id] = now
}

func (g *joinTracker) list() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	ids := make([]string, 0, len(g.joinedAt))
	for id := range g.joinedAt {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// expire removes the instances that joined before cutoff.
func (g *joinTracker) expire(cutoff time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, at := range g.joinedAt {
		if at.Before(cutoff) {
			delete(g.joinedAt, id)
		}
	}
}

// isWatcher reports whether this instance is one of those that watch the
// store.
func (n *node) isWatcher(ctx context.Context) bool {
	_, ok := n.view.Rank(ctx)
	return ok
}

// watchLoop watches the state in the store while this instance is a watcher.
func (n *node) watchLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if !n.isWatcher(ctx) {
			_ = n.clock.Sleep(ctx, n.cfg.gossipPeriod)
			continue
		}
		v, err := n.readState(ctx)
		for err == nil && ctx.Err() == nil && n.isWatcher(ctx) {
			v, err = n.watchState(ctx, v)
		}
		if err != nil {
			_ = n.clock.Sleep(ctx, n.cfg.retryDelay)
		}
	}
	return nil
}

// watchState waits for a state newer than v, applies the decided version and
// returns the latest state.
func (n *node) watchState(ctx context.Context, v versionedState) (versionedState, error) {
	w, err := n.store.Watch(ctx, platformapi.WatchRequest{
		Prefix: stateKey, After: v.readRevision, WaitMillis: n.cfg.watchWait.Milliseconds(),
	})
	if err != nil {
		return v, err
	}
	if w.HistoryLost {
		return n.readState(ctx)
	}
	n.observe(v)
	v.readRevision = max(v.readRevision, w.Revision)
	for _, e := range w.Events {
		if e.Entry.Key != stateKey || e.Deleted {
			continue
		}
		next, err := decodeState(&e.Entry)
		if err != nil {
			return v, err
		}
		next.readRevision = max(v.readRevision, next.revision)
		n.observe(next)
		v = next
	}
	return v, n.applyDecided(ctx, v.State, "")
}

// gossipLoop requests the status of one other instance per period and applies
// the version in force there if it is later.
func (n *node) gossipLoop(ctx context.Context) error {
	for turn := 0; n.clock.Sleep(ctx, n.cfg.gossipPeriod) == nil; turn++ {
		n.joining.expire(n.clock.Now().Add(-n.cfg.joinRetention))
		if to, ok := n.view.GossipPeer(ctx, turn); ok {
			n.gossipWith(ctx, to)
		}
	}
	return nil
}

func (n *node) gossipWith(ctx context.Context, to string) {
	call, cancel := context.WithTimeout(ctx, n.cfg.callTimeout)
	defer cancel()
	var s Status
	err := n.mesh.Call(call, to, methodStatus, statusRequest{InForce: n.version()}, &s)
	if err != nil || s.InForce.Version <= n.version() {
		return
	}
	fetch, cancel := context.WithTimeout(ctx, n.cfg.stageTimeout)
	defer cancel()
	if err := n.applyAndLog(fetch, s.InForce.WithSource(to)); err != nil {
		n.log.Debug("cannot apply the bundle in force on another instance", "instance", to, "error", err)
	}
}
