// Package roll moves versions of the bundle from draft to in force on every
// instance. All that lasts is one value in the platform's store, changed by
// compare-and-swap; instances acknowledge to each other. Any instance can
// take a roll over from another.
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

// Mesh is the part of the mesh of instances that rolls need.
type Mesh interface {
	Call(ctx context.Context, to, method string, params, result any) error
	Handle(method string, h instance.Handler)
}

// Peer is an instance of the platform's list.
type Peer = peers.Peer

// Fleet tells which instances there are.
type Fleet interface {
	// Registered returns the instances registered in the store, read from
	// the store during the call.
	Registered(ctx context.Context) ([]string, error)
	peers.Lister
}

// Rolls keeps the bundle in force on this instance and moves versions on.
type Rolls interface {
	// Current returns the bundle in force, or nil when there is none yet.
	// It never blocks.
	Current() *bundle.Bundle
	// Subscribe calls f with the bundle in force, if any, and with each
	// later one, in their order. It is acknowledged to other instances only
	// after f has returned.
	Subscribe(f func(*bundle.Bundle))
	// Start brings the bundle in force here and returns once this instance
	// may serve: the store showed it as registered and was read after that,
	// or other instances showed what is in force. Registering is tried
	// before and goes on beside it. There may be no bundle in force yet.
	Start(ctx context.Context) error
	// Run follows the state, drives rolls and answers until ctx ends.
	Run(ctx context.Context) error
	// Ready returns an error of kind NotReady while this instance may not
	// take in requests: no bundle is in force, or the process was paused
	// and does not know yet what it missed. It never blocks.
	Ready() error

	Status(ctx context.Context) (operatorapi.BundleStatus, error)
	Write(ctx context.Context, by string, w operatorapi.WriteRequest) (operatorapi.Version, error)
	Content(ctx context.Context, version uint64) (bundle.Bundle, error)
	Sign(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
	Roll(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
	Cancel(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
	Discard(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
}

// New returns the rolls of the instance self. It sets its handlers on mesh.
func New(self peers.Peer, store Store, mesh Mesh, fleet Fleet, c clock.Clock, log hclog.Logger, opts ...Option) Rolls {
	n := &node{
		self: self, store: store, mesh: mesh, fleet: fleet, clock: c, log: log,
		cfg:      defaults(),
		document: document{store: store, clock: c},
		known:    make(chan struct{}, 1),
		resumed:  make(chan struct{}, 1),
		guests:   guests{since: map[string]time.Time{}},
		view:     peers.New(self, fleet, c),
	}
	for _, opt := range opts {
		opt(&n.cfg)
	}
	n.fetcher = fetcher{holder: &holder{}, mesh: mesh, store: store, timeout: n.cfg.callTimeout, one: make(chan struct{}, 1)}
	n.handle()
	return n
}

// node is one instance's part in rolls.
type node struct {
	self     peers.Peer
	store    Store
	mesh     Mesh
	fleet    Fleet
	clock    clock.Clock
	log      hclog.Logger
	cfg      config
	document document
	fetcher

	// started is true once this instance may serve.
	started atomic.Bool
	pauses  pause.Watch
	guests  guests
	view    *peers.View

	// resumed receives when a pause has to be confirmed.
	resumed chan struct{}
	// known receives when the driver should look.
	known chan struct{}

	mu sync.Mutex
	// seen is the latest state that this instance read; its revision only
	// grows.
	seen versioned
	// seenAt is when seen last changed, and storedAt when the store last
	// answered.
	seenAt, storedAt time.Time
	// asked is the version whose roll was started over this instance.
	asked uint64
	// driving is the version that this instance drives.
	driving uint64
	// waiting are the instances that hold it.
	waiting []waiting
}

type waiting = operatorapi.Waiting

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
	g.Go(func() error { return n.follow(ctx) })
	g.Go(func() error { return n.exchange(ctx) })
	g.Go(func() error { return n.drive(ctx) })
	g.Go(func() error {
		n.pauses.Run(ctx, n.clock, n.resumed)
		return nil
	})
	g.Go(func() error {
		n.pauses.ConfirmAll(ctx, n.clock, n.resumed, func(since time.Time) error {
			return n.confirm(ctx, n.cfg.joinPatience-n.clock.Now().Sub(since))
		})
		return nil
	})
	return g.Wait()
}

// learn takes in a state that was read from the store.
func (n *node) learn(v versioned) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	n.storedAt = now
	if v.revision <= n.seen.revision {
		return
	}
	n.seen = v
	n.seenAt = now
	n.wake()
}

// wake makes the driver look.
func (n *node) wake() {
	select {
	case n.known <- struct{}{}:
	default:
	}
}

// knownState returns the latest state that this instance read.
func (n *node) knownState() versioned {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seen
}

// readState reads the state and brings in force what is decided.
func (n *node) readState(ctx context.Context) (versioned, error) {
	v, err := n.document.read(ctx)
	if err != nil {
		return v, err
	}
	n.learn(v)
	return v, n.applyDecided(ctx, v.State, "")
}

// applyDecided brings the version decided last in force here.
func (n *node) applyDecided(ctx context.Context, s State, source string) error {
	if s.InForce == 0 {
		return nil
	}
	r, ok := s.Find(s.InForce)
	if !ok {
		return fault.New(fault.Internal, "no record of version %d", s.InForce)
	}
	return n.bring(ctx, reference(r).WithSource(source))
}

// bring applies ref and logs it.
func (n *node) bring(ctx context.Context, ref Reference) error {
	before := n.version()
	if err := n.apply(ctx, ref); err != nil {
		n.log.Warn("bundle cannot come in force", "version", ref.Version, "error", err)
		return err
	}
	if after := n.version(); after != before {
		n.log.Info("bundle in force", "version", after, "before", before)
	}
	return nil
}

// reference names the content of a version.
func reference(r operatorapi.Version) Reference {
	return Reference{Version: r.Version, Digest: r.Digest, Write: r.Write, Packs: r.Packs}
}

// handle sets the handlers for other instances.
func (n *node) handle() {
	handleWith(n.mesh, methodStage, n.onStage)
	handleWith(n.mesh, methodApply, n.onApply)
	handleWith(n.mesh, methodStatus, n.onStatus)
	handleWith(n.mesh, methodJoin, n.onJoin)
	handleWith(n.mesh, methodManifest, n.onManifest)
	handleWith(n.mesh, methodParts, n.onParts)
}

// handleWith sets a handler that decodes its parameters.
func handleWith[P, A any](m Mesh, method string, h func(ctx context.Context, from string, params P) (A, error)) {
	m.Handle(method, func(ctx context.Context, from string, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, fault.Wrap(fault.BadRequest, err, "decode parameters").WithField(method)
		}
		return h(ctx, from, params)
	})
}
