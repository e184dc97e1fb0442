package instance

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"cicadawell.dev/fleet/fault"
)

// Tunnels opens connections through other instances. A tunnel is a TCP connection of its
// own to the other instance, which passes its bytes on to one further connection and back.
type Tunnels interface {
	// Tunnel returns a connection to address that the instance with this identifier
	// opens and passes on byte for byte. Nothing of the caller's was sent when it fails:
	// its errors have the outcome fault.NotRun. The connection belongs to the caller: it
	// outlasts ctx and this network. If the other instance fails or closes the tunnel, the
	// connection is reset; only an end that the other side of the tunnel sent ends it.
	Tunnel(ctx context.Context, to, address string) (net.Conn, error)
	// HandleTunnels sets the function that opens connections for other instances. It
	// must be called before the mesh starts. Without it, and with older builds, Tunnel
	// fails with fault.NotFound.
	HandleTunnels(open TunnelOpener)
	// OpenTunnels returns the number of tunnels that are open here for other instances,
	// including those that are being opened.
	OpenTunnels() int64
}

// TunnelOpener opens the connection of a tunnel for the instance from. Its errors are
// returned to that instance with their kind. Ctx ends when that instance gives up, and when
// the function has returned.
type TunnelOpener func(ctx context.Context, from, address string) (net.Conn, error)

// tunnelPreamble is sent first over a connection that is to be a tunnel, and sent back with
// the greeting. No message begins with it, since the codec finds no length in it; older
// builds close the connection.
const tunnelPreamble = "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"

const (
	// maxFrameBytes bounds the request for a tunnel and its answer.
	maxFrameBytes = 4 << 10
	// maxTextBytes bounds each text of an error in an answer. JSON makes it at most six
	// times as long.
	maxTextBytes = 256
	// maxOpening bounds the time in which a tunnel is opened for another instance.
	maxOpening = time.Minute
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// tunnelRequest is the first frame from the instance that opens a tunnel. The answer is
// a fault.Message, which is empty if the tunnel is open.
type tunnelRequest struct {
	From string `json:"from"`
	// To is as in hello.
	To      string `json:"to"`
	Address string `json:"address"`
	// TimeoutMillis is the time in which the tunnel is to be opened; zero means that
	// there is no limit.
	TimeoutMillis int64 `json:"timeoutMillis,omitempty"`
}

func (n *network) HandleTunnels(open TunnelOpener) { n.openTunnel = open }

func (n *network) OpenTunnels() int64 { return n.tunnels.Load() }

func (n *network) Tunnel(ctx context.Context, to, address string) (net.Conn, error) {
	if to == n.id {
		return nil, fault.New(fault.BadRequest, "tunnel to this instance").WithOutcome(fault.NotRun)
	}
	p, ok := (*n.peers.Load())[to]
	if !ok {
		return nil, fault.New(fault.HomeUnsettled, "no address of instance %q is known", to).WithOutcome(fault.NotRun)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.ctx, cancel)()
	conn, err := p.greetForTunnel(ctx, address)
	if err != nil {
		return nil, err
	}
	var answer fault.Message
	if err := within(ctx, conn, func() error { return readFrame(conn, &answer) }); err != nil {
		reset(conn)
		return nil, notSentError(err, "open tunnel to %s through instance %q", address, to)
	}
	if answer.Kind != "" {
		_ = conn.Close()
		return nil, answer.Err().WithOutcome(fault.NotRun)
	}
	return conn, nil
}

// greetForTunnel dials the other side and asks it for a tunnel to address.
func (p *peer) greetForTunnel(ctx context.Context, address string) (net.Conn, error) {
	n := p.network
	r := tunnelRequest{From: n.id, To: helloTarget(p.id), Address: address}
	if deadline, ok := ctx.Deadline(); ok {
		r.TimeoutMillis = max(deadline.Sub(n.clock.Now()).Milliseconds(), 1)
	}
	frame, err := encodeFrame(r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, n.dialTimeout)
	defer cancel()
	conn, err := n.dial(ctx, p.address)
	if err != nil {
		return nil, notSentError(err, "connect to instance %q at %s", p.id, p.address)
	}
	probe(conn)
	err = within(ctx, conn, func() error {
		if _, err := conn.Write(append([]byte(tunnelPreamble), frame...)); err != nil {
			return err
		}
		return readPreamble(conn)
	})
	if err == nil {
		return conn, nil
	}
	reset(conn)
	if ctx.Err() != nil {
		return nil, notSentError(err, "greet instance %q at %s", p.id, p.address)
	}
	// The other side closed the connection or sent something else.
	return nil, fault.Wrap(fault.NotFound, err, "instance %q opens no tunnels", p.id).WithOutcome(fault.NotRun)
}

// within returns the result of do, which uses conn. If ctx ends first, it closes conn and
// returns the error of ctx.
func within(ctx context.Context, conn net.Conn, do func() error) error {
	stop := context.AfterFunc(ctx, func() { reset(conn) })
	err := do()
	if !stop() {
		return ctx.Err()
	}
	return err
}

func readPreamble(r io.Reader) error {
	var head [len(tunnelPreamble)]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	if string(head[:]) != tunnelPreamble {
		return fmt.Errorf("unexpected greeting %q", head)
	}
	return nil
}

// serveTunnel serves a connection after its preamble.
func (n *network) serveTunnel(conn net.Conn) {
	defer resetWhenDone(n.ctx, conn)()
	probe(conn)
	var r tunnelRequest
	_ = conn.SetDeadline(n.clock.Now().Add(n.dialTimeout))
	err := readFrame(conn, &r)
	if err == nil {
		_, err = conn.Write([]byte(tunnelPreamble))
	}
	_ = conn.SetDeadline(time.Time{})
	if err != nil {
		reset(conn)
		return
	}
	if err := n.relay(conn, r); err != nil {
		_ = n.answerTunnel(conn, shortMessage(err))
		_ = conn.Close()
	}
}

// relay opens the tunnel that r asks for and passes its bytes on until it ends.
func (n *network) relay(conn net.Conn, r tunnelRequest) error {
	switch {
	case r.To != "" && r.To != n.id:
		return fault.New(fault.HomeUnsettled, "this is instance %q, not %q", n.id, r.To)
	case n.openTunnel == nil:
		return fault.New(fault.NotFound, "instance %q opens no tunnels", n.id)
	}
	defer n.tunnels.Add(-1)
	if n.tunnels.Add(1) > n.maxTunnels {
		return fault.New(fault.Overloaded, "%d tunnels of other instances are open", n.maxTunnels)
	}
	target, err := n.openFor(conn, r)
	if err != nil {
		return err
	}
	defer resetWhenDone(n.ctx, target)()
	probe(target)
	_ = target.SetDeadline(time.Time{})
	// The kernel resets both connections if this process ends.
	setLinger(target, 0)
	setLinger(conn, 0)
	if err := n.answerTunnel(conn, struct{}{}); err != nil {
		reset(target)
		reset(conn)
		return nil
	}
	t := &tunnel{caller: leg{Conn: conn, givesUp: true}, target: leg{Conn: target}}
	n.mu.Lock()
	n.relayed[t] = struct{}{}
	n.mu.Unlock()
	t.run()
	n.mu.Lock()
	delete(n.relayed, t)
	n.mu.Unlock()
	return nil
}

// openFor opens the connection that r asks for, unless the caller leaves before.
func (n *network) openFor(conn net.Conn, r tunnelRequest) (net.Conn, error) {
	timeout := maxOpening
	if r.TimeoutMillis > 0 && r.TimeoutMillis < maxOpening.Milliseconds() {
		timeout = time.Duration(r.TimeoutMillis) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	var watch sync.WaitGroup
	var left error
	watch.Go(func() {
		// The caller sends nothing before the answer.
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			left = fault.New(fault.CallerGone, "instance %q left before the tunnel was open: %v", r.From, err)
			cancel()
		}
	})
	target, err := n.openTunnel(ctx, r.From, r.Address)
	_ = conn.SetReadDeadline(longAgo)
	watch.Wait()
	_ = conn.SetReadDeadline(time.Time{})
	var kind *fault.Error
	switch {
	case err != nil && ctx.Err() != nil && !errors.As(err, &kind):
		return nil, notSentError(err, "open tunnel to %s", r.Address)
	case err != nil:
		return nil, err
	case left != nil:
		reset(target)
		return nil, left
	}
	return target, nil
}

func (n *network) answerTunnel(conn net.Conn, answer any) error {
	frame, err := encodeFrame(answer)
	if err != nil {
		return err
	}
	_ = conn.SetWriteDeadline(n.clock.Now().Add(n.writeTimeout))
	_, err = conn.Write(frame)
	_ = conn.SetWriteDeadline(time.Time{})
	return err
}

// shortMessage returns err as a message that fits into a frame.
func shortMessage(err error) fault.Message {
	msg := fault.Of(err).Message()
	for _, s := range []*string{&msg.Detail, &msg.Field} {
		*s = strings.ToValidUTF8((*s)[:min(len(*s), maxTextBytes)], "")
	}
	return msg
}

// resetWhenDone resets conn when ctx ends. The returned function stops that, or waits for
// its end.
func resetWhenDone(ctx context.Context, conn net.Conn) (stop func()) {
	done := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(done)
		reset(conn)
	})
	return func() {
		if !cancel() {
			<-done
		}
	}
}

// encodeFrame returns v as JSON after its length of two bytes.
func encodeFrame(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode frame of a tunnel").WithOutcome(fault.NotRun)
	}
	if len(raw) > maxFrameBytes {
		return nil, fault.New(fault.TooLarge, "frame of %d bytes, at most %d are allowed", len(raw), maxFrameBytes)
	}
	return append(binary.BigEndian.AppendUint16(nil, uint16(len(raw))), raw...), nil
}

// readFrame decodes the next frame into v. It reads no byte beyond it.
func readFrame(r io.Reader, v any) error {
	var size [2]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint16(size[:])
	if n > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes, at most %d are allowed", n, maxFrameBytes)
	}
	raw := make([]byte, n)
	if _, err := io.ReadFull(r, raw); err != nil {
		return err
	}
	return json.Unmarshal(raw, v)
}
