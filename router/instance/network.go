package instance

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"cicadawell.dev/fleet/fault"
	"golang.org/x/sync/errgroup"
)

// Network is a Mesh with methods to start, serve and close it.
type Network interface {
	Mesh
	Tunnels
	// Start starts the periodic check of the open connections and returns.
	Start(ctx context.Context) error
	// Serve accepts connections from l and answers their calls until Close.
	Serve(l net.Listener) error
	// Close closes all connections, cancels the handlers in progress, resets the
	// tunnels open for other instances, and waits for them.
	Close() error
}

// New returns a network. Opts override the defaults of this package.
func New(opts ...Option) Network {
	n := &network{
		config:    defaults(),
		handlers:  make(map[string]Handler),
		listeners: make(map[net.Listener]struct{}),
		accepted:  make(map[*inbound]struct{}),
		retired:   make(map[*peer]struct{}),
		relayed:   make(map[*tunnel]struct{}),
	}
	for _, opt := range opts {
		opt(&n.config)
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.peers.Store(&map[string]*peer{})
	return n
}

type network struct {
	config
	// handlers is not modified after Start or the first Serve.
	handlers map[string]Handler
	// peers is replaced as a whole by SetAddresses.
	peers atomic.Pointer[map[string]*peer]
	// runningHandlers counts the handlers in progress.
	runningHandlers atomic.Int64
	// openTunnel is not modified after Start or the first Serve. It may be nil.
	openTunnel TunnelOpener
	// tunnels counts the tunnels open for other instances.
	tunnels atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu sync.Mutex
	// closed is true once Close has started. Nothing is added to group,
	// listeners and accepted after that.
	closed    bool
	listeners map[net.Listener]struct{}
	accepted  map[*inbound]struct{}
	// retired holds the peers that SetAddresses removed while they had calls
	// in flight.
	retired map[*peer]struct{}
	// relayed holds the tunnels whose bytes are passed on here.
	relayed map[*tunnel]struct{}
}

func (n *network) Handle(method string, h Handler) { n.handlers[method] = h }

func (n *network) SetAddresses(addresses map[string]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := *n.peers.Load()
	next := make(map[string]*peer, len(addresses))
	for id, address := range addresses {
		if p, ok := old[id]; ok && p.address == address {
			next[id] = p
			continue
		}
		next[id] = newPeer(n, id, address)
	}
	n.peers.Store(&next)
	for id, p := range old {
		if next[id] != p {
			n.retire(p)
		}
	}
}

// retire closes the connection to a peer that is no longer called, or leaves it
// to checkRetired while calls are in flight. The caller holds mu.
func (n *network) retire(p *peer) {
	if c := p.conn.Load(); c != nil && c.inFlight.Load() > 0 {
		n.retired[p] = struct{}{}
		return
	}
	p.close()
}

// checkRetired closes the connections of retired peers without calls in flight.
func (n *network) checkRetired() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.retired {
		if c := p.conn.Load(); c == nil || c.inFlight.Load() == 0 {
			p.close()
			delete(n.retired, p)
		}
	}
}

// allPeers returns the current and the retired peers, which may have a
// connection.
func (n *network) allPeers() []*peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := slices.Collect(maps.Values(*n.peers.Load()))
	return slices.AppendSeq(all, maps.Keys(n.retired))
}

func (n *network) Call(ctx context.Context, to, method string, params, result any) error {
	if to == n.id {
		return n.callSelf(ctx, method, params, result)
	}
	p, ok := (*n.peers.Load())[to]
	if !ok {
		return fault.New(fault.HomeUnsettled, "no address of instance %q is known", to)
	}
	c, err := p.connect(ctx)
	if err != nil {
		return err
	}
	return c.call(ctx, method, params, result)
}

func (n *network) callSelf(ctx context.Context, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode parameters of %s", method).WithOutcome(fault.NotRun)
	}
	answer, err := n.handle(ctx, n.id, method, raw)
	if err != nil {
		return fault.Of(err)
	}
	if result == nil {
		return nil
	}
	raw, err = json.Marshal(answer)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode answer of %s", method)
	}
	return decodeResult(method, raw, result)
}

// handle runs the handler of a method, unless maxHandlers are in progress.
func (n *network) handle(ctx context.Context, from, method string, params json.RawMessage) (any, error) {
	h, ok := n.handlers[method]
	if !ok {
		return nil, fault.New(fault.NotFound, "method %q is not known here", method)
	}
	if n.runningHandlers.Add(1) > n.maxHandlers {
		n.runningHandlers.Add(-1)
		return nil, fault.New(fault.Overloaded, "%d calls of other instances are in progress", n.maxHandlers)
	}
	defer n.runningHandlers.Add(-1)
	return h(ctx, from, params)
}

func (n *network) Start(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return net.ErrClosed
	}
	n.group.Go(n.watch)
	return nil
}

// watch checks all connections every checkInterval.
func (n *network) watch() {
	for n.clock.Sleep(n.ctx, n.checkInterval) == nil {
		var checks errgroup.Group
		for _, p := range n.allPeers() {
			checks.Go(func() error {
				p.check(n.ctx)
				return nil
			})
		}
		_ = checks.Wait()
		n.checkRetired()
		n.closeIdleAccepted()
		n.checkTunnels()
	}
}

// closeIdleAccepted closes accepted connections that sent nothing for longer
// than acceptedIdleTimeout.
func (n *network) closeIdleAccepted() {
	n.mu.Lock()
	var idle []*inbound
	for in := range n.accepted {
		if in.netConn.idleFor() > n.acceptedIdleTimeout {
			idle = append(idle, in)
		}
	}
	n.mu.Unlock()
	for _, in := range idle {
		in.close()
	}
}

func (n *network) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	var errs []error
	for l := range n.listeners {
		errs = append(errs, l.Close())
	}
	accepted := slices.Collect(maps.Keys(n.accepted))
	n.mu.Unlock()
	n.cancel()
	for _, in := range accepted {
		in.close()
	}
	for _, p := range n.allPeers() {
		p.close()
	}
	n.group.Wait()
	return errors.Join(errs...)
}
