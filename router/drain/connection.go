package drain

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
	"github.com/hashicorp/go-hclog"
)

// connections tracks the connections of callers.
type connections struct {
	options
	log hclog.Logger
	// unanswered counts the connections that this instance closed although a request
	// on them had no complete answer.
	unanswered atomic.Int64
	// refused counts the connections that were closed as they were accepted, evicted those
	// that were closed for new ones, slowClosed the requests of callers that read or sent slowly.
	refused, evicted, slowClosed atomic.Int64
	// lastClosing is when slow callers were last looked for, in nanoseconds.
	lastClosing atomic.Int64

	mu   sync.Mutex
	open map[*Connection]struct{}
	// evicting counts the open connections that are about to close for new ones.
	evicting int
	// draining is set once idle connections are closed. none is closed when no
	// connection is open after that.
	draining bool
	none     chan struct{}
}

func newConnections(o options, log hclog.Logger) *connections {
	return &connections{options: o, log: log, open: make(map[*Connection]struct{}), none: make(chan struct{})}
}

// drain closes the idle connections, and the others when they become idle. The
// channel is closed when no connection is left. No connection may be added after
// drain.
func (s *connections) drain() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return s.none
	}
	s.draining = true
	for c := range s.open {
		c.closeWhenIdle()
	}
	if len(s.open) == 0 {
		close(s.none)
	}
	return s.none
}

// interruptReads makes handlers that still read their request fail with a timeout.
func (s *connections) interruptReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.interruptRead()
	}
}

// stateChanged is the hook of http.Server for the states of its connections.
func (s *connections) stateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*Connection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.endHeader()
	case http.StateIdle:
		c.becomeIdle()
	case http.StateClosed, http.StateHijacked:
		s.remove(c)
	case http.StateNew:
	}
}

// add returns the tracked connection, or nil if the limits allow no further one.
func (s *connections) add(nc net.Conn) *Connection {
	c := &Connection{Conn: nc, options: s.options, since: clock.System().Now()}
	if s.beginMemory != nil {
		c.memory = s.beginMemory()
	}
	if s.admit(c) {
		return c
	}
	if c.memory != nil {
		c.memory.Release()
	}
	_ = nc.Close()
	return nil
}

func (s *connections) remove(c *Connection) {
	s.mu.Lock()
	delete(s.open, c)
	if c.isEvicted() {
		s.evicting--
	}
	if c.memory != nil {
		c.memory.Release()
	}
	if s.draining && len(s.open) == 0 {
		close(s.none)
	}
	s.mu.Unlock()
	end, ok := c.unansweredEnd()
	if !ok {
		return
	}
	level := hclog.Info
	if end.by == closedByInstance || end.by == closedForLimits {
		level = hclog.Warn
		s.unanswered.Add(1)
	}
	s.log.Log(level, "connection ended without a complete answer", "request", end.request, "by", end.by, "bytesRead", end.read, "bytesWritten", end.written)
}

func (s *connections) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// acceptQueueTime bounds accepting the connections that are queued when a listener
// stops.
const acceptQueueTime = 100 * time.Millisecond

// trackingListener adds the connections that it accepts to connections.
type trackingListener struct {
	net.Listener
	conns *connections
	// ended is closed when the listener isn't served any more.
	ended chan struct{}

	mu sync.Mutex
	// stopped is set by stop, draining once only queued connections are accepted.
	stopped, draining bool
}

// deadlineSetter is implemented by listeners whose Accept can be interrupted.
type deadlineSetter interface{ SetDeadline(t time.Time) error }

func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		draining := l.beginDraining()
		nc, err := l.Listener.Accept()
		switch {
		case err == nil:
			if c := l.conns.add(nc); c != nil {
				return c, nil
			}
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case draining:
			return nil, net.ErrClosed
		}
	}
}

// beginDraining reports whether only queued connections are to be accepted, and
// sets the deadline for them the first time.
func (l *trackingListener) beginDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped && !l.draining {
		l.draining = true
		_ = l.Listener.(deadlineSetter).SetDeadline(clock.System().Now().Add(acceptQueueTime))
	}
	return l.draining
}

// stop makes the listener end once the queued connections are accepted: closing it
// at once would reset them.
func (l *trackingListener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, ok := l.Listener.(deadlineSetter); ok && d.SetDeadline(pastDeadline) == nil {
		l.stopped = true
		return
	}
	_ = l.Close()
}

type connectionKey struct{}

// withConnection is the hook of http.Server for the context of a connection.
func withConnection(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, nc)
}

// ConnectionOf returns the connection of a request, or nil if it isn't tracked.
func ConnectionOf(ctx context.Context) *Connection {
	c, _ := ctx.Value(connectionKey{}).(*Connection)
	return c
}

// The sides that can end a connection.
const (
	closedByCaller   = "caller"
	closedByTimeout  = "timeout"
	closedByInstance = "instance"
)

// connectionEnd describes a connection that ended without a complete answer.
type connectionEnd struct {
	request       string
	by            string
	read, written int
}

// Connection is a connection of a caller that tracks its current request. Handlers
// record how far the request is. A nil Connection ignores that.
type Connection struct {
	net.Conn
	options

	mu sync.Mutex
	// read and written count the bytes of the current request and of its answer.
	read, written int
	// header counts the lines of the header of the current request.
	header headerLines
	// request is the identifier of the current request, or "" until its header was
	// read.
	request string
	// headerRead is set once the header of the current request was read, handled once
	// a handler has the request, answered once the handler has answered it.
	headerRead, handled, answered bool
	// requestRead is set once the body of the current request was read. Bytes that
	// follow, counted by nextRead, belong to the next request.
	requestRead bool
	nextRead    int
	// failedBy is the side that made reading or writing fail, or "".
	failedBy string
	// idle is set from an answer to the first byte of the next request, closing once
	// an idle connection is to be closed.
	idle, closing bool
	// since is when the connection began to wait for a request, or got the first byte of
	// the current one.
	since time.Time
	// readDeadline is the deadline that net/http or a handler has set, or the zero
	// time. While interrupted is set, another one ends the read of the idle connection.
	readDeadline time.Time
	interrupted  bool
	// headerShort is set once a part of a header was dropped because memory was short. All
	// further reads fail, since net/http goes on after an error in the middle of a line.
	headerShort bool
	// memory is nil if the memory of connections isn't bounded.
	memory Memory
	// evicted is set once the connection is to be closed for a new one, aborted once it was
	// closed because its caller reads slowly.
	evicted, aborted bool
	// writeBegun is when the write in progress began, in nanoseconds, or zero.
	writeBegun atomic.Int64
}

func (c *Connection) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// Memory returns the memory of the connection, or nil if it isn't bounded.
func (c *Connection) Memory() Memory {
	if c == nil {
		return nil
	}
	return c.memory
}

// Read ends an idle connection only between two reads, so that no byte of a request
// is read from a connection that is then closed.
func (c *Connection) Read(p []byte) (int, error) {
	if err := c.beginRead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if !c.recordRead(p[:n], err) {
		return 0, errNoMemory
	}
	return n, err
}

// errNoMemory is a read error of the network, after which net/http sends no answer.
var errNoMemory error = &net.OpError{Op: "read", Err: errors.New("the header has no memory")}

// beginRead sets the deadline of the next read while the connection is idle or waits
// for a header. It returns an error if the connection may not be read.
func (c *Connection) beginRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.headerShort:
		return errNoMemory
	case c.idle && c.closing, c.evicted && c.read == 0:
		return io.EOF
	}
	if !c.headerRead {
		_ = c.Conn.SetReadDeadline(c.currentReadDeadline())
	}
	return nil
}

// currentReadDeadline returns the deadline for reading in the current state of the
// connection, or the zero time. The caller holds mu.
func (c *Connection) currentReadDeadline() time.Time {
	if c.headerRead || !c.readDeadline.IsZero() {
		return c.readDeadline
	}
	limits := c.limits()
	timeout := limits.Header
	if c.read == 0 {
		timeout = limits.Idle
	}
	if timeout <= 0 {
		return time.Time{}
	}
	return c.since.Add(timeout)
}

// SetReadDeadline sets the deadline and keeps it for the end of an interruption. It
// takes the place of the limits while it isn't zero.
func (c *Connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(c.currentReadDeadline())
}

// closeWhenIdle makes reading end as soon as the connection is idle.
func (c *Connection) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.idle {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}

// interruptRead makes reading the current request fail with a timeout.
func (c *Connection) interruptRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestRead {
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// recordRead counts what was read. It reports whether there is memory for it.
func (c *Connection) recordRead(data []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(data)
	if n > 0 {
		c.idle = false
		if c.read == 0 {
			c.since = clock.System().Now()
		}
		if c.interrupted {
			c.interrupted = false
			_ = c.Conn.SetReadDeadline(c.currentReadDeadline())
		}
	}
	if c.requestRead {
		c.nextRead += n
	} else {
		c.read += n
	}
	// net/http ends its own read while it handles a request by a deadline.
	if !c.requestRead || !errors.Is(err, os.ErrDeadlineExceeded) {
		c.recordFailure(err)
	}
	if n > 0 && !c.growHeader(data) {
		c.failedBy, c.headerShort = closedForLimits, true
		return false
	}
	return true
}

// writeChunkBytes is how much a caller has to read of an answer within the write
// timeout. Answers of any size and duration are written to callers that do.
const writeChunkBytes = 16 << 10

// Write fails if the caller stops reading. It doesn't bound how long the answer takes
// as a whole.
func (c *Connection) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.writeChunk(p[written:min(written+writeChunkBytes, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *Connection) writeChunk(p []byte) (int, error) {
	now := clock.System().Now()
	if c.writeTimeout > 0 {
		_ = c.SetWriteDeadline(now.Add(c.writeTimeout))
	}
	c.writeBegun.Store(now.UnixNano())
	n, err := c.Conn.Write(p)
	c.writeBegun.Store(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += n
	c.recordFailure(err)
	return n, err
}

// recordFailure records which side made reading or writing fail. The caller holds
// mu.
func (c *Connection) recordFailure(err error) {
	switch {
	case err == nil || errors.Is(err, net.ErrClosed) || c.failedBy != "":
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.failedBy = closedByTimeout
	default:
		c.failedBy = closedByCaller
	}
}

// CloseWrite closes the sending side, if the connection has sides. net/http uses it
// for answers to requests that it doesn't read to their end, and closes the connection half
// a second later. It has given up its buffers before, so that the memory of the connection
// is returned at once. Otherwise many such requests in a row, such as bodies above the
// limit, would take all of the memory and new connections would be refused.
func (c *Connection) CloseWrite() error {
	if c.memory != nil {
		c.memory.Release()
	}
	if nc, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return nc.CloseWrite()
	}
	return nil
}

// endHeader records that the header of the current request was read.
func (c *Connection) endHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerRead = true
}

// Handle records that a handler has the current request, by its identifier.
func (c *Connection) Handle(request string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled, c.request = true, request
}

// EndRequest records that the current request was read to its end.
func (c *Connection) EndRequest() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestRead = true
}

// Answer records that the current request has its answer.
func (c *Connection) Answer() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
}

// becomeIdle records that the connection is kept for the next request.
func (c *Connection) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.since = c.nextRead == 0, clock.System().Now()
	c.read, c.nextRead, c.written = c.nextRead, 0, 0
	c.request, c.headerRead, c.handled, c.answered, c.requestRead, c.failedBy = "", false, false, false, false, ""
	c.header = headerLines{}
	if c.memory != nil {
		c.memory.EndRequest()
	}
}

// unansweredEnd describes the end of a connection on which a request, or a part of
// one, has no complete answer.
func (c *Connection) unansweredEnd() (connectionEnd, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Without a handler, what was written is an answer of net/http.
	if c.read == 0 || c.answered || (!c.handled && c.written > 0 && c.failedBy == "") {
		return connectionEnd{}, false
	}
	end := connectionEnd{request: c.request, by: c.failedBy, read: c.read, written: c.written}
	if end.by == "" {
		end.by = closedByInstance
	}
	return end, true
}
