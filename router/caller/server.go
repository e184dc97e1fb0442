// Package caller serves the callers of the pipelines over HTTP, with JSON and
// server-sent events.
package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/drain"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/pipeline"
	"github.com/gin-gonic/gin"
	"github.com/hashicorp/go-hclog"
)

// Limits of the callers' HTTP interface.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	// maxBodyBytesInFlight bounds the sum of the body limits of all requests in
	// flight, in bytes.
	maxBodyBytesInFlight = 256 << 20
	// minDeadline is the shortest deadline that a request may set.
	minDeadline = time.Millisecond
)

// Defaults of a server.
const (
	// defaultBodyTimeout bounds the delivery of one body.
	defaultBodyTimeout = 10 * time.Second
	// defaultWriteTimeout is how long a caller may read nothing of its answer.
	defaultWriteTimeout = 5 * time.Second
)

// Option changes a default of a server.
type Option func(*server)

// WithBodyTimeout bounds the delivery of one body.
func WithBodyTimeout(d time.Duration) Option {
	return func(s *server) { s.bodyTimeout = d }
}

// WithWriteTimeout bounds the time in which a caller reads nothing of its answer.
func WithWriteTimeout(d time.Duration) Option {
	return func(s *server) { s.writeTimeout = d }
}

// Readiness reports whether this instance may accept requests.
type Readiness interface {
	// Ready returns an error of kind NotReady while the instance may not
	// accept requests.
	Ready() error
}

// RateLimiter limits the request rate of each team.
type RateLimiter interface {
	// Allow reports whether the team may send a request now, and otherwise
	// after how long it may retry.
	Allow(team bundle.Team, now time.Time) (ok bool, retryAfter time.Duration)
}

// Meter records how requests end.
type Meter interface {
	// Answered counts a complete answer and whether it met its deadline.
	Answered(e EndedRequest, deadlineMet bool)
	// Refused counts a refusal.
	Refused(e EndedRequest, refusal *fault.Error)
	// Replayed counts an answer that an earlier call had produced.
	Replayed(pipeline string)
}

// EndedRequest describes a request that has ended.
type EndedRequest struct {
	// Tier and Pipeline are empty if the request was refused before they
	// were determined.
	Tier     string
	Pipeline string
	// Took is the time from the arrival of the request to its end.
	Took time.Duration
	// FirstToken is the time from the arrival of the request to its first
	// token; zero if no token was streamed.
	FirstToken time.Duration
	// RunnerTime is the total time that the request's attempts occupied runners.
	RunnerTime time.Duration
}

// Identifiers generates request identifiers.
type Identifiers interface {
	NewRequest() string
}

// Parts are the dependencies of a server.
type Parts struct {
	Clock       clock.Clock
	Readiness   Readiness
	Catalog     *catalog.Current
	Executor    pipeline.Executor
	Ledger      ledger.Ledger
	RateLimiter RateLimiter
	Journal     journal.Journal
	Meter       Meter
	Identifiers Identifiers
	Log         hclog.Logger
}

// Server serves callers.
type Server interface {
	// Handler returns the HTTP handler.
	Handler() http.Handler
	// Serve accepts connections from l until Shutdown.
	Serve(l net.Listener) error
	// StartDraining makes each further answer ask the caller to close its
	// connection, and the health check report that the instance is leaving.
	StartDraining()
	// Shutdown stops accepting connections and waits for the requests in
	// flight, also for those that are read in part only; it returns an error
	// when ctx ends first. Shortly before that it cancels the requests, so
	// that they get an answer.
	Shutdown(ctx context.Context) error
	// InFlight returns how many requests are being answered.
	InFlight() int64
}

// NewServer returns a server for callers.
func NewServer(p Parts, options ...Option) Server {
	gin.SetMode(gin.ReleaseMode)
	s := &server{Parts: p, bodyTimeout: defaultBodyTimeout, writeTimeout: defaultWriteTimeout}
	for _, o := range options {
		o(s)
	}
	engine := gin.New()
	engine.HandleMethodNotAllowed = true
	engine.Use(track)
	engine.POST(callerapi.PathPipelines+":pipeline", s.serve)
	engine.GET(callerapi.PathHealth, s.health)
	engine.NoRoute(s.noRoute)
	engine.NoMethod(s.noRoute)
	s.handler = engine
	s.drain = drain.NewServer(&http.Server{
		Handler:           engine,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}, p.Log, drain.WithWriteTimeout(s.writeTimeout))
	return s
}

type server struct {
	Parts
	handler      http.Handler
	drain        *drain.Server
	bodyTimeout  time.Duration
	writeTimeout time.Duration

	inFlight atomic.Int64
	draining atomic.Bool
	// bodyBytes is the sum of the limits of the request bodies being read or
	// served; it never exceeds maxBodyBytesInFlight.
	bodyBytes atomic.Int64
}

// Handler returns the HTTP handler.
func (s *server) Handler() http.Handler { return s.handler }

// Serve accepts connections until Shutdown.
func (s *server) Serve(l net.Listener) error { return s.drain.Serve(l) }

// track records the begin and the end of a request with its connection.
func track(c *gin.Context) {
	conn := drain.ConnectionOf(c.Request.Context())
	conn.Handle("")
	c.Next()
	conn.Answer()
}

// StartDraining makes each further answer ask the caller to close its
// connection.
func (s *server) StartDraining() { s.draining.Store(true) }

// closeWhenDraining asks the caller to close its connection while this instance
// is draining. It is called when an answer begins.
func (s *server) closeWhenDraining(c *gin.Context) {
	if s.draining.Load() {
		c.Header("Connection", "close")
	}
}

// Shutdown stops accepting connections and waits for the requests in flight.
func (s *server) Shutdown(ctx context.Context) error { return s.drain.Shutdown(ctx, errShutdown) }

// errShutdown is the cause of the cancellation of requests by Shutdown. They may have
// run.
var errShutdown = fault.New(fault.OutcomeUnknown, "the instance shuts down")

// InFlight returns how many requests are being answered.
func (s *server) InFlight() int64 { return s.inFlight.Load() }

func (s *server) health(c *gin.Context) {
	if err := s.Readiness.Ready(); err != nil {
		s.refuse(c, &exchange{arrived: s.Clock.Now()}, err)
		return
	}
	s.closeWhenDraining(c)
	c.JSON(http.StatusOK, callerapi.Health{Ready: true, Leaving: s.draining.Load()})
}

func (s *server) noRoute(c *gin.Context) {
	e := fault.New(fault.NotFound, "found %s %q, allowed is POST %s{pipeline}", c.Request.Method, c.Request.URL.Path, callerapi.PathPipelines)
	s.refuse(c, &exchange{arrived: s.Clock.Now()}, e)
}
