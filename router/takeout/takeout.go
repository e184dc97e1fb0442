// Package takeout takes availability zones and runners out and brings them
// back. A take-out order propagates both through the store and by gossip between
// instances and takes effect by whichever is faster, so it works while the store
// is down. A bring-back order requires a write to the store first.
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

// Store is the part of the platform's store that this package uses.
type Store interface {
	Get(ctx context.Context, key string) (entry *platformapi.Entry, revision uint64, err error)
	List(ctx context.Context, prefix string) (entries []platformapi.Entry, revision uint64, err error)
	Put(ctx context.Context, put platformapi.PutRequest) (revision uint64, err error)
	Watch(ctx context.Context, watch platformapi.WatchRequest) (platformapi.WatchResponse, error)
}

// Mesh is the part of the mesh of instances that this package uses.
type Mesh interface {
	Call(ctx context.Context, to, method string, params, result any) error
	Handle(method string, h instance.Handler)
}

// Topology lists the zones and runners.
type Topology interface {
	// Names returns a row for each zone or runner of the bundle in force. A
	// runner's row has its service, its zone and its work in flight.
	Names(k Kind) []operatorapi.TakeoutStatus
}

// Takeouts keeps the zones and runners that are out, as known to this instance.
type Takeouts interface {
	// Current returns the set in force. It never blocks and never returns
	// nil.
	Current() *Set
	// Zones and Runners return the zones and the runners that are out.
	// Callers must not change the maps.
	Zones() map[string]bool
	Runners() map[string]bool
	// Subscribe calls f with the set in force, and with each later set in
	// order. An order is acknowledged to other instances only after f has
	// returned.
	Subscribe(f func(*Set))
	// Start reads the orders of the store and of other instances. It returns
	// once this instance may serve.
	Start(ctx context.Context) error
	// Run propagates orders and receives those of others until ctx ends.
	Run(ctx context.Context) error
	// Ready returns an error of kind NotReady while this instance may not
	// send work: it has not started, or the process was paused and has not
	// yet read the orders that it may have missed. It never blocks.
	Ready() error
	// OperatorOrders returns the operators' interface for one kind.
	OperatorOrders(k Kind) *Orders
}

// Periods and bounds.
const (
	watchWait      = 10 * time.Second
	retryPause     = 500 * time.Millisecond
	exchangePeriod = time.Second
	callTimeout    = time.Second
	// joinTimeout is how long an instance that starts or resumes after a
	// pause waits for the store or for a majority of the listed instances.
	joinTimeout = 3 * time.Second
	// storeTimeout bounds one attempt to write an order to the store or to
	// read all orders from it.
	storeTimeout = 2 * time.Second
	// refreshTimeout bounds the read from the store before a take-out order.
	refreshTimeout = 500 * time.Millisecond
	// fanOut is the maximum number of concurrent calls to other instances.
	fanOut = 64
)

// New returns the Takeouts of the instance self. It registers a handler on mesh.
func New(self peers.Peer, store Store, mesh Mesh, l peers.Lister, t Topology, c clock.Clock, log hclog.Logger) Takeouts {
	n := &node{
		store: store, mesh: mesh, topology: t, clock: c, log: log,
		view: peers.New(self, l, c), resumed: make(chan struct{}, 1),
		stored: map[string]Order{}, pending: map[string]*propagation{},
	}
	n.current.Store(newSet(nil))
	n.handle()
	return n
}

// node implements Takeouts on one instance.
type node struct {
	store    Store
	mesh     Mesh
	topology Topology
	clock    clock.Clock
	log      hclog.Logger
	view     *peers.View

	// current is only replaced by sets with later orders.
	current atomic.Pointer[Set]
	started atomic.Bool
	pauses  pause.Watch
	// resumed receives when the process resumes after a pause and the orders
	// have to be confirmed.
	resumed chan struct{}

	// change is locked while a set is put in force, so that subscribers
	// receive the sets in order.
	change      sync.Mutex
	subscribers []func(*Set)

	mu sync.Mutex
	// stored holds the latest orders known to be in the store, by key.
	stored map[string]Order
	// pending holds the orders given on this instance that the store or some
	// instance does not hold yet, by key.
	pending map[string]*propagation
}

// now returns the current time as recorded in orders.
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

// merge puts those of orders in force that are later than the present ones, and
// calls the subscribers if there are any.
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

// recordStored records that the store holds o.
func (n *node) recordStored(o Order) {
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
	for _, f := range []func(context.Context){n.watchStore, n.exchange, n.propagate} {
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
		n.pauses.ConfirmPauses(ctx, n.clock, n.resumed, func(since time.Time) error {
			return n.confirm(ctx, joinTimeout-n.clock.Now().Sub(since))
		})
		return nil
	})
	return g.Wait()
}

func (n *node) Start(ctx context.Context) error {
	return n.pauses.RunDuring(ctx, n.clock, n.resumed, func() error { return n.start(ctx) })
}

func (n *node) start(ctx context.Context) error {
	begin := n.clock.Now()
	for {
		count := n.pauses.Count()
		err := n.confirm(ctx, joinTimeout-n.clock.Now().Sub(begin))
		if err == nil {
			n.pauses.Confirm(count)
			n.started.Store(true)
			return nil
		}
		n.log.Info("not ready: neither the store nor enough instances returned the orders", "error", err)
		if err := n.clock.Sleep(ctx, retryPause); err != nil {
			return fault.Wrap(fault.NotReady, err, "start")
		}
	}
}

// confirm reads the orders that the store and the other instances hold; the
// instances may be ahead of the store. It succeeds when the store answered and
// the listed instances were asked, or when a majority of the listed instances
// answered. When no time remains, one answer is enough.
func (n *node) confirm(ctx context.Context, remaining time.Duration) error {
	var storeErr error
	var answered, asked int
	var g errgroup.Group
	g.Go(func() error {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		_, storeErr = n.readStore(call)
		return nil
	})
	g.Go(func() error {
		answered, asked = n.askAll(ctx)
		return nil
	})
	_ = g.Wait() // both record their own failures
	need := asked/2 + 1
	if remaining <= 0 {
		need = 1
	}
	if storeErr == nil || answered >= need {
		return nil
	}
	return fault.Wrap(fault.NotReady, storeErr, "%d of %d other instances told what is out, need %d", answered, asked, need)
}
