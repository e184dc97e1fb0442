// Package roll rolls versions of the bundle out to all instances, as a
// two-phase commit: every instance fetches and verifies a version before it is
// decided, then puts it in force. The only durable state is one value in the
// platform's store, changed by compare-and-swap; instances send their
// acknowledgements to the coordinator of the rollout. Any instance can take
// over as coordinator.
package roll

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/pause"
	"cicadawell.dev/router/peers"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
)

// Mesh calls other instances and handles their calls.
type Mesh interface {
	Call(ctx context.Context, to, method string, params, result any) error
	Handle(method string, h instance.Handler)
}

// Peer is an instance on the platform's list.
type Peer = peers.Peer

// InstanceLister lists the instances.
type InstanceLister interface {
	// ListRegistered returns the IDs of the instances registered in the store. It
	// reads the store during the call.
	ListRegistered(ctx context.Context) ([]string, error)
	peers.Lister
}

// Rollouts keeps this instance's bundle in force and rolls versions out.
type Rollouts interface {
	// Current returns the bundle in force, or nil when there is none yet.
	// It never blocks.
	Current() *bundle.Bundle
	// Subscribe calls f with the bundle in force, if any, and with each later
	// one, in order. A bundle is acknowledged to other instances only after f
	// has returned.
	Subscribe(f func(*bundle.Bundle))
	// Start puts the bundle in force on this instance and returns once the
	// instance may serve: either the store has shown it as registered and the
	// state was read after that, or other instances have reported the version
	// in force. The caller starts the registration before and continues it
	// concurrently. There may be no bundle in force yet.
	Start(ctx context.Context) error
	// Run watches the state, coordinates rollouts and exchanges status with
	// other instances until ctx ends.
	Run(ctx context.Context) error
	// Ready returns an error of kind NotReady while this instance may not
	// accept requests: no bundle is in force, or the process was paused and has
	// not yet confirmed that its bundle is still in force. It never blocks.
	Ready() error

	Status(ctx context.Context) (operatorapi.BundleStatus, error)
	Write(ctx context.Context, by string, w operatorapi.WriteRequest) (operatorapi.Version, error)
	Content(ctx context.Context, version uint64) (bundle.Bundle, error)
	Sign(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
	Roll(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
	Cancel(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
	Discard(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
}

// New returns the Rollouts of the instance self and registers its handlers on
// mesh.
func New(self peers.Peer, store Store, mesh Mesh, lister InstanceLister, c clock.Clock, log hclog.Logger, opts ...Option) Rollouts {
	n := &node{
		self: self, store: store, mesh: mesh, lister: lister, clock: c, log: log,
		cfg:              defaults(),
		states:           stateStore{store: store, clock: c},
		stateChanged:     make(chan struct{}, 1),
		pauseUnconfirmed: make(chan struct{}, 1),
		joining:          joinTracker{joinedAt: map[string]time.Time{}},
		view:             peers.New(self, lister, c),
	}
	for _, opt := range opts {
		opt(&n.cfg)
	}
	n.fetcher = fetcher{localBundles: &localBundles{}, mesh: mesh, store: store, timeout: n.cfg.callTimeout, fetchLock: make(chan struct{}, 1)}
	n.registerHandlers()
	return n
}

// node implements Rollouts on one instance.
type node struct {
	self   peers.Peer
	store  Store
	mesh   Mesh
	lister InstanceLister
	clock  clock.Clock
	log    hclog.Logger
	cfg    config
	states stateStore
	fetcher

	// started is set once this instance may serve.
	started atomic.Bool
	pauses  pause.Watch
	joining joinTracker
	view    *peers.View

	// pauseUnconfirmed signals that the process was paused and the bundle in
	// force has to be confirmed.
	pauseUnconfirmed chan struct{}
	// stateChanged signals that the coordinator should check the state.
	stateChanged chan struct{}

	mu sync.Mutex
	// latest is the latest state that this instance read; its revision only
	// increases.
	latest versionedState
	// latestChangedAt is when latest last changed, or when this instance last
	// stepped down as coordinator. storeAnsweredAt is when the store last
	// answered.
	latestChangedAt, storeAnsweredAt time.Time
	// startedHere is the version whose rollout an operator started through this
	// instance; zero means none.
	startedHere uint64
	// coordinating is the version whose rollout this instance coordinates; zero
	// means none.
	coordinating uint64
	// blockers are the instances that block that rollout.
	blockers []blocker
}

type blocker = operatorapi.PendingInstance

func (n *node) Current() *bundle.Bundle { return n.current() }

func (n *node) Subscribe(f func(*bundle.Bundle)) { n.subscribe(f) }

func (n *node) Ready() error {
	switch {
	case n.current() == nil:
		return fault.New(fault.NotReady, "no bundle in force")
	case !n.started.Load() || n.pauses.Paused(n.clock.Now()):
		return fault.New(fault.NotReady, "the bundle in force is not confirmed")
	}
	return nil
}

func (n *node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.watchLoop(ctx) })
	g.Go(func() error { return n.gossipLoop(ctx) })
	g.Go(func() error { return n.coordinate(ctx) })
	g.Go(func() error {
		n.pauses.Run(ctx, n.clock, n.pauseUnconfirmed)
		return nil
	})
	g.Go(func() error {
		n.pauses.ConfirmPauses(ctx, n.clock, n.pauseUnconfirmed, func(since time.Time) error {
			return n.confirm(ctx, n.cfg.majorityTimeout-n.clock.Now().Sub(since))
		})
		return nil
	})
	return g.Wait()
}

// observe records a state that was read from the store.
func (n *node) observe(v versionedState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.storeAnsweredAt = now
	if v.revision <= n.latest.revision {
		return
	}
	n.latest = v
	n.latestChangedAt = now
	n.wakeCoordinator()
}

// wakeCoordinator makes the coordinator check the state now.
func (n *node) wakeCoordinator() {
	select {
	case n.stateChanged <- struct{}{}:
	default:
	}
}

// latestState returns the latest state that this instance read.
func (n *node) latestState() versionedState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latest
}

// readState reads the state and applies the decided version.
func (n *node) readState(ctx context.Context) (versionedState, error) {
	v, err := n.states.read(ctx)
	if err != nil {
		return v, err
	}
	n.observe(v)
	return v, n.applyDecided(ctx, v.State, "")
}

// applyDecided applies the version that was decided last.
func (n *node) applyDecided(ctx context.Context, s State, source string) error {
	if s.InForce == 0 {
		return nil
	}
	r, ok := s.Find(s.InForce)
	if !ok {
		return fault.New(fault.Internal, "no record of version %d", s.InForce)
	}
	return n.applyAndLog(ctx, reference(r).WithSource(source))
}

// applyAndLog applies ref and logs the result.
func (n *node) applyAndLog(ctx context.Context, ref Reference) error {
	before := n.version()
	if err := n.apply(ctx, ref); err != nil {
		n.log.Warn("cannot put the bundle in force", "version", ref.Version, "error", err)
		return err
	}
	if after := n.version(); after != before {
		n.log.Info("bundle in force", "version", after, "before", before)
	}
	return nil
}

// reference returns the Reference of a version, without a source.
func reference(r operatorapi.Version) Reference {
	return Reference{Version: r.Version, Digest: r.Digest, Write: r.WriteID, Chunks: r.Chunks}
}

// registerHandlers registers the handlers for calls from other instances.
func (n *node) registerHandlers() {
	registerHandler(n.mesh, methodStage, n.onStage)
	registerHandler(n.mesh, methodApply, n.onApply)
	registerHandler(n.mesh, methodStatus, n.onStatus)
	registerHandler(n.mesh, methodJoin, n.onJoin)
	registerHandler(n.mesh, methodManifest, n.onManifest)
	registerHandler(n.mesh, methodParts, n.onParts)
}

// registerHandler registers a handler with decoded parameters.
func registerHandler[P, A any](m Mesh, method string, h func(ctx context.Context, from string, params P) (A, error)) {
	m.Handle(method, func(ctx context.Context, from string, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, fault.Wrap(fault.BadRequest, err, "decode parameters").WithField(method)
		}
		return h(ctx, from, params)
	})
}
