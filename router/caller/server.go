// Package caller answers the callers of the pipelines, over HTTP with JSON and
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
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/pipeline"
	"github.com/gin-gonic/gin"
)

// Limits of the interface for callers.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	// maxBodies bounds the request bodies held at once, in bytes.
	maxBodies = 256 << 20
	// minDeadline is the shortest deadline that makes sense.
	minDeadline = time.Millisecond
)

// Defaults of a server.
const (
	// defaultBodyTimeout bounds the delivery of one body.
	defaultBodyTimeout = 10 * time.Second
	// defaultWriteTimeout bounds one write to a caller that reads slowly.
	defaultWriteTimeout = 5 * time.Second
)

// Option changes a default of a server.
type Option func(*server)

// WithBodyTimeout bounds the delivery of one body.
func WithBodyTimeout(d time.Duration) Option {
	return func(s *server) { s.bodyTimeout = d }
}

// WithWriteTimeout bounds one write to a caller that reads slowly.
func WithWriteTimeout(d time.Duration) Option {
	return func(s *server) { s.writeTimeout = d }
}

// Readiness tells whether this instance may take in requests.
type Readiness interface {
	// Ready returns an error of kind NotReady while it may not.
	Ready() error
}

// Quotas bounds the rate of each team.
type Quotas interface {
	Allow(team bundle.Team, now time.Time) (ok bool, retryAfter time.Duration)
}

// Meter counts what the callers got.
type Meter interface {
	// Answered counts a whole answer and whether it met its deadline.
	Answered(e Ended, met bool)
	// Refused counts a refusal.
	Refused(e Ended, why *fault.Error)
	// Replayed counts an answer that an earlier call had produced.
	Replayed(pipeline string)
}

// Ended is a request at its end.
type Ended struct {
	// Tier and Pipeline are empty where they were not found out.
	Tier     string
	Pipeline string
	Took     time.Duration
	// FirstToken is zero for an answer that was not streamed.
	FirstToken time.Duration
	// Spent is how long the request's attempts held runners.
	Spent time.Duration
}

// Identifiers mints identifiers of requests.
type Identifiers interface {
	NewRequest() string
}

// Parts are what a server is built from.
type Parts struct {
	Clock       clock.Clock
	Readiness   Readiness
	Catalog     *catalog.Current
	Executor    pipeline.Executor
	Ledger      ledger.Ledger
	Quotas      Quotas
	Journal     journal.Journal
	Meter       Meter
	Identifiers Identifiers
}

// Server answers callers.
type Server interface {
	// Handler returns the handler of the interface.
	Handler() http.Handler
	// Serve answers connections until Shutdown.
	Serve(l net.Listener) error
	// Leave asks callers, with each answer, to open no further request on
	// their connection.
	Leave()
	// Shutdown takes no new connections and waits for every request under
	// way; it returns an error when ctx ends first.
	Shutdown(ctx context.Context) error
	// UnderWay returns how many requests are being answered.
	UnderWay() int64
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
	engine.Use(s.closing)
	engine.POST(callerapi.PathPipelines+":pipeline", s.serve)
	engine.GET(callerapi.PathHealth, s.health)
	engine.NoRoute(s.noRoute)
	engine.NoMethod(s.noRoute)
	s.http = &http.Server{
		Handler:           engine,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	return s
}

type server struct {
	Parts
	http         *http.Server
	bodyTimeout  time.Duration
	writeTimeout time.Duration

	underWay atomic.Int64
	leaving  atomic.Bool
	// bodies is the sum of the limits of the bodies being read or served;
	// it never exceeds maxBodies.
	bodies atomic.Int64
}

// Handler returns the handler of the interface.
func (s *server) Handler() http.Handler { return s.http.Handler }

// Serve answers connections until Shutdown.
func (s *server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Leave asks callers to close their connections.
func (s *server) Leave() { s.leaving.Store(true) }

// closing asks the caller to close its connection when this instance leaves.
func (s *server) closing(c *gin.Context) {
	if s.leaving.Load() {
		c.Header("Connection", "close")
	}
}

// Shutdown waits for every request under way.
func (s *server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// UnderWay returns how many requests are being answered.
func (s *server) UnderWay() int64 { return s.underWay.Load() }

func (s *server) health(c *gin.Context) {
	if err := s.Readiness.Ready(); err != nil {
		s.refuse(c, &exchange{arrived: s.Clock.Now()}, err)
		return
	}
	c.JSON(http.StatusOK, callerapi.Health{Ready: true, Leaving: s.leaving.Load()})
}

func (s *server) noRoute(c *gin.Context) {
	e := fault.New(fault.NotFound, "found %s %q, allowed is POST %s{pipeline}", c.Request.Method, c.Request.URL.Path, callerapi.PathPipelines)
	s.refuse(c, &exchange{arrived: s.Clock.Now()}, e)
}
