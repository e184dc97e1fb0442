package instance

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/fault"
	"github.com/sourcegraph/jsonrpc2"
)

// Methods that the mesh itself handles.
const (
	methodHello = "mesh.hello"
	methodPing  = "mesh.ping"
)

// envelopeBytes is the size reserved in a message for everything but the
// parameters.
const envelopeBytes = 256

// codeFault is the code of an error whose data is a fault.Message.
const codeFault = 1

// hello holds the parameters of the handshake, which is the first call over a
// connection. The other side refuses it if its identifier is not To, since
// another instance may have taken over the address. An empty To matches any
// instance.
type hello struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// trackedConn is a connection that records the time of the last read and sets a
// deadline for each part of a write.
type trackedConn struct {
	net.Conn
	cfg *config
	// opened is the time that lastRead is relative to.
	opened time.Time
	// lastRead is the time from opened to the last byte received, in
	// nanoseconds.
	lastRead atomic.Int64
}

func newTrackedConn(conn net.Conn, cfg *config) *trackedConn {
	return &trackedConn{Conn: conn, cfg: cfg, opened: cfg.clock.Now()}
}

func (w *trackedConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.lastRead.Store(int64(w.cfg.clock.Now().Sub(w.opened)))
	}
	return n, err
}

// maxWriteBytes is the part of a message that is written under one deadline.
const maxWriteBytes = 32 << 10

func (w *trackedConn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := w.SetWriteDeadline(w.cfg.clock.Now().Add(w.cfg.writeTimeout)); err != nil {
			return written, err
		}
		n, err := w.Conn.Write(p[written:min(len(p), written+maxWriteBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// idleFor returns the time since the last byte received.
func (w *trackedConn) idleFor() time.Duration {
	return w.cfg.clock.Now().Sub(w.opened) - time.Duration(w.lastRead.Load())
}

func (w *trackedConn) stream() jsonrpc2.ObjectStream { return w.streamAfter(nil) }

// streamAfter returns the stream of a connection whose first bytes, head, have been
// read.
func (w *trackedConn) streamAfter(head []byte) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(replayed{w, io.MultiReader(bytes.NewReader(head), w)}, boundedCodec{max: w.cfg.maxMessageBytes})
}

// replayed is a connection that is read through r.
type replayed struct {
	*trackedConn
	r io.Reader
}

func (r replayed) Read(p []byte) (int, error) { return r.r.Read(p) }

// boundedCodec is the library's length-prefixed codec with a limit on the
// length, in bytes.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	max uint64
}

// ReadObject rejects a message over the limit before reading its body.
func (c boundedCodec) ReadObject(r *bufio.Reader, v any) error {
	head, err := r.Peek(binary.MaxVarintLen64)
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if len(head) == 0 {
		return io.EOF
	}
	if size, n := binary.Uvarint(head); n <= 0 || size > c.max {
		return fmt.Errorf("message of %d bytes, at most %d are allowed", size, c.max)
	}
	return c.VarintObjectCodec.ReadObject(r, v)
}

// wireError returns err as the error of a response.
func wireError(err error) *jsonrpc2.Error {
	msg := fault.Of(err).Message()
	e := &jsonrpc2.Error{Code: codeFault, Message: msg.Detail}
	e.SetError(msg)
	return e
}

// decodeError returns the error contained in a response.
func decodeError(method string, e *jsonrpc2.Error) error {
	if e.Code != codeFault || e.Data == nil {
		return fault.Wrap(fault.Internal, e, "call %s", method)
	}
	var msg fault.Message
	if err := json.Unmarshal(*e.Data, &msg); err != nil {
		return fault.Wrap(fault.Internal, err, "decode error of %s", method)
	}
	return msg.Err()
}

func decodeResult(method string, raw json.RawMessage, result any) error {
	if err := json.Unmarshal(raw, result); err != nil {
		return fault.Wrap(fault.Internal, err, "decode answer of %s", method)
	}
	return nil
}
