package instance

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/progress"
	"github.com/sourcegraph/jsonrpc2"
)

// peer is another instance at one address.
type peer struct {
	network *network
	id      string
	address string
	// conn is the open connection, or nil.
	conn atomic.Pointer[connection]
	// connectLock is a mutex as a channel of capacity one, so that waiting
	// for it can be canceled. Its holder checks or replaces conn.
	connectLock chan struct{}
	// failedAt and dialErr are the time and the error of the last failure to
	// connect. They are guarded by connectLock.
	failedAt time.Time
	dialErr  error
}

func newPeer(n *network, id, address string) *peer {
	return &peer{network: n, id: id, address: address, connectLock: make(chan struct{}, 1)}
}

// connect returns an open connection. An existing one is used without a ping if
// it was recently active, or if the call is idempotent and the last call was
// answered. Otherwise it is pinged first, and replaced if it does not answer. A
// caller that waited for the lock shares the failure of another attempt that
// failed in the meantime.
func (p *peer) connect(ctx context.Context) (*connection, error) {
	if c := p.conn.Load(); c != nil && (c.recentlyActive() || isIdempotent(ctx) && c.lastCallAnswered()) {
		return c, nil
	}
	requestedAt := p.network.clock.Now()
	select {
	case p.connectLock <- struct{}{}:
		defer func() { <-p.connectLock }()
	case <-ctx.Done():
		return nil, notSentError(ctx.Err(), "connect to instance %q", p.id)
	}
	if c := p.conn.Load(); c != nil {
		if c.ensureAlive(ctx) == nil {
			return c, nil
		}
		p.conn.CompareAndSwap(c, nil)
		c.close()
	}
	if p.dialErr != nil && p.failedAt.After(requestedAt) {
		return nil, p.dialErr
	}
	c, err := p.open(ctx)
	if err != nil {
		p.failedAt, p.dialErr = p.network.clock.Now(), err
		return nil, err
	}
	p.dialErr = nil
	p.conn.Store(c)
	if p.network.ctx.Err() != nil {
		c.close()
	}
	return c, nil
}

// open dials the other side and performs the handshake.
func (p *peer) open(ctx context.Context) (*connection, error) {
	n := p.network
	ctx, cancel := context.WithTimeout(ctx, n.dialTimeout)
	defer cancel()
	conn, err := n.dial(ctx, p.address)
	if err != nil {
		return nil, notSentError(err, "connect to instance %q at %s", p.id, p.address)
	}
	c := &connection{netConn: newTrackedConn(conn, &n.config), pingLock: make(chan struct{}, 1)}
	c.rpc = jsonrpc2.NewConn(n.ctx, c.netConn.stream(), ignoreRequests{}, jsonrpc2.SetLogger(discardLogger{}))
	if err := c.rpc.Call(ctx, methodHello, hello{From: n.id, To: helloTarget(p.id)}, nil); err != nil {
		c.close()
		return nil, notSentError(err, "greet instance %q at %s", p.id, p.address)
	}
	return c, nil
}

// check closes the connection if it has no calls in flight and is idle, or if it
// has calls in flight and does not answer a ping.
func (p *peer) check(ctx context.Context) {
	c := p.conn.Load()
	if c == nil {
		return
	}
	n := p.network
	switch {
	case c.inFlight.Load() == 0:
		if c.netConn.idleFor() < n.idleTimeout {
			return
		}
	case c.netConn.idleFor() < n.checkInterval || c.ensureAlive(ctx) == nil:
		return
	default:
		n.log.Warn("close silent connection", "instance", p.id, "silent", c.netConn.idleFor())
	}
	p.conn.CompareAndSwap(c, nil)
	c.close()
}

func (p *peer) close() {
	if c := p.conn.Swap(nil); c != nil {
		c.close()
	}
}

// connection carries the calls of this instance to one other instance.
type connection struct {
	rpc     *jsonrpc2.Conn
	netConn *trackedConn
	// inFlight counts the calls that wait for their answer.
	inFlight atomic.Int64
	// unanswered is true if the call that ended last got no answer.
	unanswered atomic.Bool
	// pingLock is a mutex as a channel of capacity one. It makes concurrent
	// liveness checks share one ping.
	pingLock chan struct{}
}

// recentlyActive reports whether a byte arrived within activeWindow.
func (c *connection) recentlyActive() bool {
	return c.isOpen() && c.netConn.idleFor() <= c.netConn.cfg.activeWindow
}

// lastCallAnswered reports whether the call that ended last was answered and a
// byte arrived within answeredWindow.
func (c *connection) lastCallAnswered() bool {
	return c.isOpen() && !c.unanswered.Load() && c.netConn.idleFor() <= c.netConn.cfg.answeredWindow
}

func (c *connection) isOpen() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

// MarkIdempotent marks the calls of ctx as idempotent. They are sent without a
// ping over a connection whose last call was answered.
func MarkIdempotent(ctx context.Context) context.Context {
	return context.WithValue(ctx, idempotentContextKey{}, true)
}

type idempotentContextKey struct{}

func isIdempotent(ctx context.Context) bool { return ctx.Value(idempotentContextKey{}) != nil }

// ensureAlive pings the other side unless the connection was recently active. It
// returns nil if the answer arrives within pingTimeout.
func (c *connection) ensureAlive(ctx context.Context) error {
	select {
	case c.pingLock <- struct{}{}:
		defer func() { <-c.pingLock }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if c.recentlyActive() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.netConn.cfg.pingTimeout)
	defer cancel()
	return c.rpc.Call(ctx, methodPing, nil, nil)
}

// call sends one call and waits for its answer. The other side never handles a
// message that was written only in part, so a call whose write failed was not
// run.
func (c *connection) call(ctx context.Context, method string, params, result any) error {
	if err := ctx.Err(); err != nil {
		return notSentError(err, "call %s", method)
	}
	encoded, err := c.encode(method, params)
	if err != nil {
		return err
	}
	progress.Follow(ctx, c.netConn.idleFor)
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	waiter, err := c.rpc.DispatchCall(ctx, method, encoded)
	if err != nil {
		c.close()
		return notSentError(err, "send call %s", method)
	}
	var raw json.RawMessage
	err = waiter.Wait(ctx, &raw)
	var remoteErr *jsonrpc2.Error
	c.unanswered.Store(err != nil && !errors.As(err, &remoteErr))
	switch {
	case remoteErr != nil:
		return decodeError(method, remoteErr)
	case err != nil:
		return fault.Wrap(fault.OutcomeUnknown, err, "call %s was sent and not answered, the last byte arrived %v ago", method, c.netConn.idleFor())
	case result == nil:
		return nil
	}
	return decodeResult(method, raw, result)
}

// encode returns the parameters of a call as JSON, or an error if they exceed
// the maximum message size.
func (c *connection) encode(method string, params any) (json.RawMessage, error) {
	raw, err := json.Marshal(params)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode parameters of %s", method).WithOutcome(fault.NotRun)
	}
	if limit := c.netConn.cfg.maxMessageBytes - envelopeBytes; uint64(len(raw)) > limit {
		return nil, fault.New(fault.TooLarge, "%d bytes, at most %d are allowed", len(raw), limit).WithField(method)
	}
	return raw, nil
}

func (c *connection) close() { _ = c.rpc.Close() }

// notSentError returns the error of a call that did not reach the other side.
func notSentError(err error, format string, args ...any) error {
	return fault.Wrap(fault.HomeUnsettled, err, format, args...).WithOutcome(fault.NotRun)
}

// ignoreRequests ignores calls that arrive over a connection opened by this
// side: each side calls only over its own connections.
type ignoreRequests struct{}

func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// discardLogger discards the library's log lines; errors are returned by the
// calls.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
