package instance

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/fault"
	"github.com/sourcegraph/jsonrpc2"
)

// acceptRetryInterval is the pause after a connection that couldn't be accepted, as
// descriptors may be lacking for a while.
const acceptRetryInterval = 100 * time.Millisecond

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
			n.log.Warn("can't accept a connection", "error", err)
			_ = n.clock.Sleep(n.ctx, acceptRetryInterval)
			continue
		}
		n.accept(conn)
	}
}

// accept starts answering the calls that arrive over conn, until either side
// closes it.
func (n *network) accept(conn net.Conn) {
	in := &inbound{network: n, netConn: newTrackedConn(conn, &n.config)}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = conn.Close()
		return
	}
	n.accepted[in] = struct{}{}
	n.group.Go(in.run)
}

// removeAccepted removes in from the accepted connections, which are closed when
// they are idle.
func (n *network) removeAccepted(in *inbound) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.accepted, in)
}

// inbound is a connection opened by another instance.
type inbound struct {
	network *network
	netConn *trackedConn
	// remoteID is the other instance's identifier from the handshake; nil
	// before it.
	remoteID atomic.Pointer[string]

	mu sync.Mutex
	// closed is true once the connection is closed; no call starts after.
	closed bool
	// calls counts the handlers in progress.
	calls sync.WaitGroup
}

// run serves the connection until it is closed.
func (in *inbound) run() {
	n := in.network
	head := make([]byte, len(tunnelPreamble))
	// A failed read fails again for the stream.
	size, _ := io.ReadFull(in.netConn, head)
	if string(head[:size]) == tunnelPreamble {
		n.removeAccepted(in)
		n.serveTunnel(in.netConn.Conn)
		return
	}
	rpc := jsonrpc2.NewConn(n.ctx, in.netConn.streamAfter(head[:size]), in, jsonrpc2.SetLogger(discardLogger{}))
	<-rpc.DisconnectNotify()
	n.removeAccepted(in)
	in.waitForCalls()
}

// close ends run, which closes the rest.
func (in *inbound) close() { _ = in.netConn.Close() }

// waitForCalls lets no further call start and waits for the handlers in
// progress.
func (in *inbound) waitForCalls() {
	in.mu.Lock()
	in.closed = true
	in.mu.Unlock()
	in.calls.Wait()
}

// startCall runs call in a goroutine, unless the connection is closed.
func (in *inbound) startCall(call func()) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.closed {
		in.calls.Go(call)
	}
}

// Handle implements jsonrpc2.Handler. It runs on the reading goroutine, so
// that the handshake is processed before the calls that follow it.
func (in *inbound) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Notif {
		return
	}
	switch r.Method {
	case methodHello:
		in.handleHello(ctx, conn, r)
	case methodPing:
		_ = conn.Reply(ctx, r.ID, nil)
	default:
		in.startCall(func() { in.serve(ctx, conn, r) })
	}
}

// handleHello handles the handshake.
func (in *inbound) handleHello(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
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
	in.remoteID.Store(&h.From)
	_ = conn.Reply(ctx, r.ID, nil)
}

func (in *inbound) serve(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	from := in.remoteID.Load()
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

// params returns the parameters of a request, or JSON null without any.
func params(r *jsonrpc2.Request) json.RawMessage {
	if r.Params == nil {
		return json.RawMessage("null")
	}
	return *r.Params
}
