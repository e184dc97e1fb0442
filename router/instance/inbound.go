package instance

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"cicadawell.dev/fleet/fault"
	"github.com/sourcegraph/jsonrpc2"
)

func (n *network) Serve(l net.Listener) error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return errors.Join(net.ErrClosed, l.Close())
	}
	n.listeners[l] = struct{}{}
	n.mu.Unlock()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		n.accept(conn)
	}
}

// accept answers the calls that arrive over conn, until either side closes it.
func (n *network) accept(conn net.Conn) {
	in := &incoming{network: n, wire: newWire(conn, &n.config)}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = conn.Close()
		return
	}
	in.rpc = jsonrpc2.NewConn(n.ctx, in.wire.stream(), in, jsonrpc2.SetLogger(quiet{}))
	n.accepted[in] = struct{}{}
	n.group.Go(func() {
		<-in.rpc.DisconnectNotify()
		n.mu.Lock()
		delete(n.accepted, in)
		n.mu.Unlock()
		in.finish()
	})
}

// incoming is a connection that another instance opened.
type incoming struct {
	network *network
	wire    *wire
	// rpc is set before the connection is in the network's accepted set.
	rpc *jsonrpc2.Conn
	// from is the identifier in the greeting; nil before it.
	from atomic.Pointer[string]

	mu sync.Mutex
	// ended is true once the connection is closed; no call starts after.
	ended bool
	// calls are the handlers in progress.
	calls sync.WaitGroup
}

func (in *incoming) close() { _ = in.rpc.Close() }

// finish waits for the handlers in progress.
func (in *incoming) finish() {
	in.mu.Lock()
	in.ended = true
	in.mu.Unlock()
	in.calls.Wait()
}

func (in *incoming) begin(call func()) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.ended {
		in.calls.Go(call)
	}
}

// Handle implements jsonrpc2.Handler. It runs on the reading goroutine, so
// that a greeting is taken in before the calls after it.
func (in *incoming) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Notif {
		return
	}
	switch r.Method {
	case methodHello:
		in.greet(ctx, conn, r)
	case methodPing:
		_ = conn.Reply(ctx, r.ID, nil)
	default:
		in.begin(func() { in.serve(ctx, conn, r) })
	}
}

func (in *incoming) greet(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	var h hello
	if err := json.Unmarshal(params(r), &h); err != nil {
		_ = conn.ReplyWithError(ctx, r.ID, wireError(fault.Wrap(fault.BadRequest, err, "greeting")))
		return
	}
	if h.To != "" && h.To != in.network.id {
		err := fault.New(fault.NotFound, "this is instance %q, not %q", in.network.id, h.To)
		_ = conn.ReplyWithError(ctx, r.ID, wireError(err))
		return
	}
	in.from.Store(&h.From)
	_ = conn.Reply(ctx, r.ID, nil)
}

func (in *incoming) serve(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	from := in.from.Load()
	if from == nil {
		_ = conn.ReplyWithError(ctx, r.ID, wireError(fault.New(fault.BadRequest, "call before the greeting")))
		return
	}
	answer, err := in.network.handle(withDisconnect(ctx, conn.DisconnectNotify()), *from, r.Method, params(r))
	if err == nil {
		err = conn.Reply(ctx, r.ID, answer)
		if err == nil || errors.Is(err, jsonrpc2.ErrClosed) {
			return
		}
	}
	_ = conn.ReplyWithError(ctx, r.ID, wireError(err))
}

func params(r *jsonrpc2.Request) json.RawMessage {
	if r.Params == nil {
		return json.RawMessage("null")
	}
	return *r.Params
}
