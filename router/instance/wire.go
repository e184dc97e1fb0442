package instance

import (
	"bufio"
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

// Methods of the mesh itself.
const (
	methodHello = "mesh.hello"
	methodPing  = "mesh.ping"
)

// envelope is the room, in bytes, for what surrounds the parameters in a message.
const envelope = 256

// codeFault marks an error whose data is a fault.Message.
const codeFault = 1

// hello is the first call over a connection. The other side refuses it when it
// is not To, since an address may have passed on to another instance. An empty
// To means any instance.
type hello struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// wire is a connection that remembers when it last brought a byte and that
// bounds its writes.
type wire struct {
	net.Conn
	cfg *config
	// opened is the origin of heard.
	opened time.Time
	// heard is the time from opened to the last byte received.
	heard atomic.Int64
}

func newWire(conn net.Conn, cfg *config) *wire {
	return &wire{Conn: conn, cfg: cfg, opened: cfg.clock.Now()}
}

func (w *wire) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.heard.Store(int64(w.cfg.clock.Now().Sub(w.opened)))
	}
	return n, err
}

func (w *wire) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(w.cfg.clock.Now().Add(w.cfg.writeWithin)); err != nil {
		return 0, err
	}
	return w.Conn.Write(p)
}

// silentFor returns the time since the last byte received.
func (w *wire) silentFor() time.Duration {
	return w.cfg.clock.Now().Sub(w.opened) - time.Duration(w.heard.Load())
}

func (w *wire) stream() jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(w, boundedCodec{max: w.cfg.maxMessage})
}

// boundedCodec is the length-prefixed codec of the library with a bound on the
// length.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	max uint64
}

// ReadObject refuses a message over the bound before it is read.
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

// wireError returns the form of err in a response.
func wireError(err error) *jsonrpc2.Error {
	msg := fault.Of(err).Message()
	e := &jsonrpc2.Error{Code: codeFault, Message: msg.Detail}
	e.SetError(msg)
	return e
}

// decodeError returns the error that a response carried.
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
