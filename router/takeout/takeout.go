// Package takeout takes availability zones and runners out and brings them
// back. An order out spreads by the store and between instances, whichever is
// faster, and works while the store is out; an order in takes a write to the
// store.
package takeout

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/pause"
	"cicadawell.dev/router/peers"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
)

// Store is the part of the platform's store that orders need.
type Store interface {
	Get(ctx context.Context, key string) (entry *platformapi.Entry, revision uint64, err error)
	List(ctx context.Context, prefix string) (entries []platformapi.Entry, revision uint64, err error)
	Put(ctx context.Context, put platformapi.PutRequest) (revision uint64, err error)
	Watch(ctx context.Context, watch platformapi.WatchRequest) (platformapi.WatchResponse, error)
}

// Mesh is the part of the mesh of instances that orders need.
type Mesh interface {
	Call(ctx context.Context, to, method string, params, result any) error
	Handle(method string, h instance.Handler)
}

// Topology tells which zones and runners there are.
type Topology interface {
	// Names returns a row for each zone or runner of the bundle in force,
	// with the service, the zone and the work in flight of a runner.
	Names(k Kind) []operatorapi.TakeoutStatus
}

// Takeouts keeps what is out on this instance.
type Takeouts interface {
	// Current returns what is out. It never blocks and is never nil.
	Current() *Set
	// Zones and Runners return those that are out; they must not be changed.
	Zones() map[string]bool
	Runners() map[string]bool
	// Subscribe calls f with what is out and after each change, in order.
	// An order is acknowledged to others only after f has returned.
	Subscribe(f func(*Set))
	// Start learns what is out from the store and from other instances. It
	// returns once this instance may serve.
	Start(ctx context.Context) error
	// Run spreads orders and learns those of others until ctx ends.
	Run(ctx context.Context) error
	// Ready returns an error of kind NotReady while this instance may not
	// send work: it has not started, or the process was paused and does not
	// know yet what it missed. It never blocks.
	Ready() error
	// Of returns the operators' interface for one kind.
	Of(k Kind) *Orders
}

// Periods and bounds.
const (
	watchWait      = 10 * time.Second
	retryPause     = 500 * time.Millisecond
	exchangePeriod = time.Second
	callTimeout    = time.Second
	// joinPatience is how long a starting instance waits for the store or
	// for a majority of the listed instances.
	joinPatience = 3 * time.Second
	// storePatience bounds one try to write an order to the store.
	storePatience = 2 * time.Second
	// lookUpPatience bounds the look at the store before an order out.
	lookUpPatience = 500 * time.Millisecond
	// fanOut is how many instances are called at once.
	fanOut = 64
)

// New returns the orders of the instance self. It sets its handlers on mesh.
func New(self peers.Peer, store Store, mesh Mesh, l peers.Lister, t Topology, c clock.Clock, log hclog.Logger) Takeouts {
	n := &node{
		store: store, mesh: mesh, topology: t, clock: c, log: log,
		view: peers.New(self, l, c), resumed: make(chan struct{}, 1),
		stored: map[string]Order{}, spreading: map[string]*spreading{},
	}
	n.current.Store(newSet(nil))
	n.handle()
	return n
}

// node is one instance's part.
type node struct {
	store    Store
	mesh     Mesh
	topology Topology
	clock    clock.Clock
	log      hclog.Logger
	view     *peers.View

	// current only changes to sets with later orders.
	current atomic.Pointer[Set]
	started atomic.Bool
	pauses  pause.Watch
	// resumed receives when a pause has to be confirmed.
	resumed chan struct{}

	// change is held while a set comes in force, so that subscribers see the
	// sets in their order.
	change      sync.Mutex
	subscribers []func(*Set)

	mu sync.Mutex
	// stored are the latest orders that the store is known to hold.
	stored map[string]Order
	// spreading are the orders given here that the store or some instance
	// does not hold yet.
	spreading map[string]*spreading
}

// now returns the time of an order.
func (n *node) now() time.Time { return n.clock.Now().UTC().Round(0) }

func (n *node) Current() *Set { return n.current.Load() }

func (n *node) Zones() map[string]bool { return n.Current().Zones }

func (n *node) Runners() map[string]bool { return n.Current().Runners }

func (n *node) Subscribe(f func(*Set)) {
	n.change.Lock()
	defer n.change.Unlock()
	n.subscribers = append(n.subscribers, f)
	f(n.Current())
}

func (n *node) Ready() error {
	if !n.started.Load() || n.pauses.Paused(n.clock.Now()) {
		return fault.New(fault.NotReady, "what is taken out is not known yet")
	}
	return nil
}

// merge takes in orders and tells the subscribers when there are later ones.
func (n *node) merge(orders ...Order) {
	n.change.Lock()
	defer n.change.Unlock()
	before := n.Current()
	after := before.With(orders...)
	if after == before {
		return
	}
	n.current.Store(after)
	for _, o := range orders {
		if compare(after.orders[o.key()], o) == 0 && compare(before.orders[o.key()], o) != 0 {
			n.log.Info("order in force", "kind", o.Kind, "name", o.Name, "out", o.Out, "generation", o.Generation, "by", o.By)
		}
	}
	for _, f := range n.subscribers {
		f(after)
	}
}

// noteStored takes in an order that the store holds.
func (n *node) noteStored(o Order) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old, ok := n.stored[o.key()]; !ok || compare(o, old) > 0 {
		n.stored[o.key()] = o
	}
}

// isStored reports whether the store is known to hold o or a later order.
func (n *node) isStored(o Order) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.stored[o.key()]
	return o.Generation == 0 || (ok && compare(s, o) >= 0)
}

func (n *node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, f := range []func(context.Context){n.follow, n.exchange, n.spread} {
		g.Go(func() error {
			f(ctx)
			return nil
		})
	}
	g.Go(func() error {
		n.pauses.Run(ctx, n.clock, n.resumed)
		return nil
	})
	g.Go(func() error {
		n.pauses.ConfirmAll(ctx, n.clock, n.resumed, func(since time.Time) error {
			return n.confirm(ctx, joinPatience-n.clock.Now().Sub(since))
		})
		return nil
	})
	return g.Wait()
}

func (n *node) Start(ctx context.Context) error {
	return n.pauses.During(ctx, n.clock, n.resumed, func() error { return n.start(ctx) })
}

func (n *node) start(ctx context.Context) error {
	begin := n.clock.Now()
	for {
		count := n.pauses.Count()
		err := n.confirm(ctx, joinPatience-n.clock.Now().Sub(begin))
		if err == nil {
			n.pauses.Confirm(count)
			n.started.Store(true)
			return nil
		}
		n.log.Info("what is taken out is not known yet", "error", err)
		if err := n.clock.Sleep(ctx, retryPause); err != nil {
			return fault.Wrap(fault.NotReady, err, "start")
		}
	}
}

// confirm learns the orders that the store holds and those that other
// instances hold; the latter may be ahead of the store. It succeeds when the
// store answered and the listed instances were asked, or when a majority of
// the listed instances answered. When patience has run out, one is enough.
func (n *node) confirm(ctx context.Context, patience time.Duration) error {
	var fromStore error
	var answered, asked int
	var g errgroup.Group
	g.Go(func() error {
		call, cancel := context.WithTimeout(ctx, storePatience)
		defer cancel()
		_, fromStore = n.readStore(call)
		return nil
	})
	g.Go(func() error {
		answered, asked = n.askAll(ctx)
		return nil
	})
	_ = g.Wait() // both note their own failures
	need := asked/2 + 1
	if patience <= 0 {
		need = 1
	}
	if fromStore == nil || answered >= need {
		return nil
	}
	return fault.Wrap(fault.NotReady, fromStore, "%d of %d other instances told what is out, need %d", answered, asked, need)
}
