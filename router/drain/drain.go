// Package drain shuts HTTP servers down without dropping requests that were read in
// part, as http.Server.Shutdown does.
package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// lastAnswersTime is the part of the time for a shutdown that is reserved for the
// answers of cancelled calls.
const lastAnswersTime = 200 * time.Millisecond

// Limits bound how long a caller may take. Zero means no limit.
type Limits struct {
	// Header bounds the time from the first byte of a request to the end of its header.
	Header time.Duration
	// Idle bounds the time until the first byte of a request, from the answer before or
	// from the accepting of the connection.
	Idle time.Duration
}

// Option changes a default of NewServer.
type Option func(*options)

type options struct {
	limits       func() Limits
	writeTimeout time.Duration
	beginMemory  func() Memory
	// maxConnections is zero if the number of connections isn't bounded.
	maxConnections int
}

// WithLimits sets the source of the limits, which may change at any time.
func WithLimits(limits func() Limits) Option { return func(o *options) { o.limits = limits } }

// WithWriteTimeout bounds the time in which a caller reads nothing of an answer.
func WithWriteTimeout(d time.Duration) Option { return func(o *options) { o.writeTimeout = d } }

// Server is an http.Server with a graceful shutdown.
type Server struct {
	http  *http.Server
	log   hclog.Logger
	conns *connections
	// cancelCalls ends the context of all calls.
	cancelCalls context.CancelCauseFunc

	// callsEnd is when the shutdown in progress cancels the calls, or nil.
	callsEnd atomic.Pointer[time.Time]

	mu        sync.Mutex
	shutdown  bool
	listeners []*trackingListener
}

// Stats describes the connections of a server.
type Stats struct {
	// Open is the number of open connections.
	Open int
	// Unanswered counts the connections that the server closed although a request on
	// them had no complete answer.
	Unanswered int64
	// Refused counts the connections that were closed as they were accepted because the
	// limits allow no further one, Evicted those without a complete request that were
	// closed for new ones, SlowCallers those whose request was ended because memory was
	// short.
	Refused, Evicted, SlowCallers int64
}

// NewServer returns a server for h, whose ConnState, ConnContext and BaseContext it
// sets. Nothing else may serve or shut down h. Limits and the write timeout take the
// place of the timeouts of h, which cover a whole exchange however long its call takes.
func NewServer(h *http.Server, log hclog.Logger, opts ...Option) *Server {
	o := options{limits: func() Limits { return Limits{} }}
	for _, opt := range opts {
		opt(&o)
	}
	s := &Server{http: h, log: log, conns: newConnections(o, log)}
	ctx, cancel := context.WithCancelCause(context.Background())
	s.cancelCalls = cancel
	h.ConnState, h.ConnContext = s.conns.stateChanged, withConnection
	h.BaseContext = func(net.Listener) context.Context { return ctx }
	return s
}

// Serve accepts connections from l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	tracking := &trackingListener{Listener: l, conns: s.conns, ended: make(chan struct{})}
	defer close(tracking.ended)
	s.mu.Lock()
	s.listeners = append(s.listeners, tracking)
	if s.shutdown {
		_ = l.Close()
	}
	s.mu.Unlock()
	if err := s.http.Serve(tracking); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Shutdown stops accepting connections, closes those that are idle, and waits for the
// calls in flight, also for those that are read in part only. Shortly before the
// deadline of ctx, or when ctx ends, it cancels them with a cause and waits for their
// answers. Handlers should ask callers to close their connections by then.
func (s *Server) Shutdown(ctx context.Context, cause error) error {
	calls := ctx
	if deadline, ok := ctx.Deadline(); ok {
		end := deadline.Add(-lastAnswersTime)
		s.callsEnd.Store(&end)
		var cancel context.CancelFunc
		calls, cancel = context.WithDeadline(ctx, end)
		defer cancel()
	}
	s.stopAccepting()
	drained := s.conns.drain()
	select {
	case <-drained:
		return s.http.Close()
	case <-calls.Done():
	}
	s.log.Warn("calls cancelled by the shutdown", "connections", s.conns.count())
	s.cancelCalls(cause)
	s.conns.interruptReads()
	answers, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastAnswersTime)
	defer cancel()
	select {
	case <-drained:
		return s.http.Close()
	case <-answers.Done():
		return errors.Join(answers.Err(), s.http.Close())
	}
}

// stopAccepting closes the listeners and waits until no connection is accepted any
// more.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	s.shutdown = true
	listeners := slices.Clone(s.listeners)
	s.mu.Unlock()
	for _, l := range listeners {
		l.stop()
		<-l.ended
	}
}

// CallsEnd returns when the shutdown in progress cancels the calls that still run. ok is
// false if there is no shutdown, or one without a deadline.
func (s *Server) CallsEnd() (end time.Time, ok bool) {
	if p := s.callsEnd.Load(); p != nil {
		return *p, true
	}
	return time.Time{}, false
}

// Stats returns the state and the counters of the connections.
func (s *Server) Stats() Stats {
	c := s.conns
	return Stats{
		Open: c.count(), Unanswered: c.unanswered.Load(), Refused: c.refused.Load(), Evicted: c.evicted.Load(), SlowCallers: c.slowClosed.Load(),
	}
}
