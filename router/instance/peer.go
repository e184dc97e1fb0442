package instance

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/fault"
	"github.com/sourcegraph/jsonrpc2"
)

// peer is another instance at one address.
type peer struct {
	network *network
	id      string
	address string
	// conn is the open connection, or nil.
	conn atomic.Pointer[connection]
	// turn holds one token; its holder proves or replaces conn.
	turn chan struct{}
	// failed and failure tell the last failure to connect. They belong to
	// the holder of the token.
	failed  time.Time
	failure error
}

func newPeer(n *network, id, address string) *peer {
	return &peer{network: n, id: id, address: address, turn: make(chan struct{}, 1)}
}

// connect returns a connection that is new or has just proved itself alive.
func (p *peer) connect(ctx context.Context) (*connection, error) {
	if c := p.conn.Load(); c != nil && (c.fresh() || repeatable(ctx) && c.answers()) {
		return c, nil
	}
	asked := p.network.clock.Now()
	select {
	case p.turn <- struct{}{}:
		defer func() { <-p.turn }()
	case <-ctx.Done():
		return nil, unsent(ctx.Err(), "connect to instance %q", p.id)
	}
	if c := p.conn.Load(); c != nil {
		if c.prove(ctx) == nil {
			return c, nil
		}
		p.conn.CompareAndSwap(c, nil)
		c.close()
	}
	if p.failure != nil && p.failed.After(asked) {
		return nil, p.failure
	}
	c, err := p.open(ctx)
	if err != nil {
		p.failed, p.failure = p.network.clock.Now(), err
		return nil, err
	}
	p.failure = nil
	p.conn.Store(c)
	if p.network.ctx.Err() != nil {
		c.close()
	}
	return c, nil
}

// open dials and greets the other side.
func (p *peer) open(ctx context.Context) (*connection, error) {
	n := p.network
	ctx, cancel := context.WithTimeout(ctx, n.dialWithin)
	defer cancel()
	conn, err := n.dial(ctx, p.address)
	if err != nil {
		return nil, unsent(err, "connect to instance %q at %s", p.id, p.address)
	}
	c := &connection{wire: newWire(conn, &n.config), proving: make(chan struct{}, 1)}
	c.rpc = jsonrpc2.NewConn(n.ctx, c.wire.stream(), refuseCalls{}, jsonrpc2.SetLogger(quiet{}))
	if err := c.rpc.Call(ctx, methodHello, hello{From: n.id, To: greeted(p.id)}, nil); err != nil {
		c.close()
		return nil, unsent(err, "greet instance %q at %s", p.id, p.address)
	}
	return c, nil
}

// check closes a connection that is idle, or that has calls in flight and does
// not answer a ping.
func (p *peer) check(ctx context.Context) {
	c := p.conn.Load()
	if c == nil {
		return
	}
	n := p.network
	switch {
	case c.inFlight.Load() == 0:
		if c.wire.silentFor() < n.idleLimit {
			return
		}
	case c.wire.silentFor() < n.checkEvery || c.prove(ctx) == nil:
		return
	default:
		n.log.Warn("close silent connection", "instance", p.id, "silent", c.wire.silentFor())
	}
	p.conn.CompareAndSwap(c, nil)
	c.close()
}

func (p *peer) close() {
	if c := p.conn.Swap(nil); c != nil {
		c.close()
	}
}

// connection carries the calls of this instance to one other.
type connection struct {
	rpc  *jsonrpc2.Conn
	wire *wire
	// inFlight counts the calls that wait for their answer.
	inFlight atomic.Int64
	// doubted is true when the last call to end was not answered.
	doubted atomic.Bool
	// proving holds one token, so that concurrent proofs share one ping.
	proving chan struct{}
}

func (c *connection) fresh() bool {
	return c.isOpen() && c.wire.silentFor() <= c.wire.cfg.provenFor
}

// answers reports whether the last call was answered, not long ago.
func (c *connection) answers() bool {
	return c.isOpen() && !c.doubted.Load() && c.wire.silentFor() <= c.wire.cfg.answeredFor
}

func (c *connection) isOpen() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

// Repeatable marks the calls of ctx as repeatable: they are sent without a ping
// over a connection whose last call was answered.
func Repeatable(ctx context.Context) context.Context {
	return context.WithValue(ctx, repeatableKey{}, true)
}

type repeatableKey struct{}

func repeatable(ctx context.Context) bool { return ctx.Value(repeatableKey{}) != nil }

// prove returns nil when the other side answers within the bound.
func (c *connection) prove(ctx context.Context) error {
	select {
	case c.proving <- struct{}{}:
		defer func() { <-c.proving }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if c.fresh() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.wire.cfg.pingWithin)
	defer cancel()
	return c.rpc.Call(ctx, methodPing, nil, nil)
}

// call sends one call. A message that was not written whole is never handled
// by the other side, so that the failure of a write leaves the call not run.
func (c *connection) call(ctx context.Context, method string, params, result any) error {
	if err := ctx.Err(); err != nil {
		return unsent(err, "call %s", method)
	}
	sent, err := c.encode(method, params)
	if err != nil {
		return err
	}
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	waiter, err := c.rpc.DispatchCall(ctx, method, sent)
	if err != nil {
		c.close()
		return unsent(err, "send call %s", method)
	}
	var raw json.RawMessage
	err = waiter.Wait(ctx, &raw)
	var answered *jsonrpc2.Error
	c.doubted.Store(err != nil && !errors.As(err, &answered))
	switch {
	case answered != nil:
		return decodeError(method, answered)
	case err != nil:
		return fault.Wrap(fault.OutcomeUnknown, err, "call %s was sent and not answered", method)
	case result == nil:
		return nil
	}
	return decodeResult(method, raw, result)
}

// encode returns the parameters of a call in their form on the wire.
func (c *connection) encode(method string, params any) (json.RawMessage, error) {
	raw, err := json.Marshal(params)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode parameters of %s", method).WithOutcome(fault.NotRun)
	}
	if limit := c.wire.cfg.maxMessage - envelope; uint64(len(raw)) > limit {
		return nil, fault.New(fault.TooLarge, "%d bytes, at most %d are allowed", len(raw), limit).WithField(method)
	}
	return raw, nil
}

func (c *connection) close() { _ = c.rpc.Close() }

// unsent returns the error of a call that did not reach the other side.
func unsent(err error, format string, args ...any) error {
	return fault.Wrap(fault.HomeUnsettled, err, format, args...).WithOutcome(fault.NotRun)
}

// refuseCalls ignores calls over a connection that this side opened: each side
// calls over its own connections.
type refuseCalls struct{}

func (refuseCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// quiet drops the library's own log lines; errors reach the calls themselves.
type quiet struct{}

func (quiet) Printf(string, ...any) {}
