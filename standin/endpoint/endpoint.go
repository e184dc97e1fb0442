// Package endpoint is the HTTP server of the stand-ins. It prints a ready line
// once it listens, injects faults set over its control paths and shuts down on a
// signal.
package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"cicadawell.dev/fleet/clock"
	"github.com/gin-gonic/gin"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// Control paths for the tests that use a stand-in.
const (
	// PathFaults accepts Faults, which replace the present ones.
	PathFaults = "/control/faults"
	// PathRecord returns the record of a stand-in.
	PathRecord = "/control/record"

	controlPrefix = "/control/"
)

// stopGrace limits the wait for calls in flight at shutdown, and the time to read
// the header of a call.
const stopGrace = 5 * time.Second

// Faults are the faults that a stand-in injects. A fault that does not apply to a
// kind of stand-in has no effect on it.
type Faults struct {
	// Down closes the connection of every call, which then gets no answer
	// and has no effect.
	Down bool `json:"down,omitempty"`
	// SlowMillis delays every call by so many milliseconds before it takes
	// effect. A call takes effect even if its client has timed out.
	SlowMillis int64 `json:"slowMillis,omitempty"`
	// Silence makes all connections that are open now silent for good,
	// without closing them: data in both directions is discarded. New
	// connections work.
	Silence bool `json:"silence,omitempty"`
	// LoseWrites is the number of following writes to the store that take
	// effect but get no answer.
	LoseWrites int64 `json:"loseWrites,omitempty"`
	// StartColdStart makes a runner enter cold start.
	StartColdStart bool `json:"turnCold,omitempty"`
	// SlowFactor multiplies the duration of a runner's work.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// Refuse makes a runner refuse all work without running it.
	Refuse bool `json:"refuse,omitempty"`
	// DropBefore and DropAfter are the numbers of following calls whose
	// connection is closed, before the work runs and after.
	DropBefore int64 `json:"dropBefore,omitempty"`
	DropAfter  int64 `json:"dropAfter,omitempty"`
}

// Ready is the JSON line that every stand-in and router prints once it listens.
type Ready struct {
	Ready   string `json:"ready"`
	Address string `json:"address"`
	// Operators is the address of a router's operator API.
	Operators string `json:"operators,omitempty"`
}

// Endpoint is the HTTP server of one stand-in.
type Endpoint struct {
	*gin.Engine
	clock    clock.Clock
	faults   atomic.Pointer[Faults]
	listener *faultListener
	// faultHooks are called with each new value of the faults.
	faultHooks []func(Faults)
	// stopping is cancelled when shutdown begins; Serve sets it.
	stopping context.Context
}

// connKey is the context key of a call's connection.
type connKey struct{}

// New returns an endpoint. Routes must be added before Serve.
func New(clk clock.Clock) *Endpoint {
	gin.SetMode(gin.ReleaseMode)
	e := &Endpoint{Engine: gin.New(), clock: clk}
	e.faults.Store(&Faults{})
	e.Use(e.applyFaults)
	e.POST(PathFaults, e.setFaults)
	return e
}

// OnFaults calls f with each new value of the faults.
func (e *Endpoint) OnFaults(f func(Faults)) { e.faultHooks = append(e.faultHooks, f) }

// Serve listens at address, writes a Ready line to w and serves until ctx ends or
// the process gets SIGTERM or SIGINT.
func (e *Endpoint) Serve(ctx context.Context, id, address string, w io.Writer) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen at %s", address)
	}
	e.listener = newFaultListener(l)
	e.stopping = ctx
	server := &http.Server{
		Handler:           e.Engine,
		ReadHeaderTimeout: stopGrace,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(e.listener) })
	group.Go(func() error {
		<-ctx.Done()
		grace, done := context.WithTimeout(context.WithoutCancel(ctx), stopGrace)
		defer done()
		if server.Shutdown(grace) != nil {
			return server.Close()
		}
		return nil
	})
	if err := json.NewEncoder(w).Encode(Ready{Ready: id, Address: l.Addr().String()}); err != nil {
		return eris.Wrap(err, "print the ready line")
	}
	if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// DecodeBody decodes the JSON body of a call. When that fails, it answers with
// status 400 and ok is false.
func DecodeBody[T any](c *gin.Context) (req T, ok bool) {
	err := c.ShouldBindJSON(&req)
	if err != nil {
		c.String(http.StatusBadRequest, err.Error())
	}
	return req, err == nil
}

func (e *Endpoint) setFaults(c *gin.Context) {
	f, ok := DecodeBody[Faults](c)
	if !ok {
		return
	}
	e.faults.Store(&f)
	for _, hook := range e.faultHooks {
		hook(f)
	}
	if f.Silence {
		e.listener.silenceOpen(c.Request.Context().Value(connKey{}))
	}
	c.Status(http.StatusOK)
}

func (e *Endpoint) applyFaults(c *gin.Context) {
	if strings.HasPrefix(c.Request.URL.Path, controlPrefix) {
		return
	}
	f := e.faults.Load()
	if f.Down {
		CloseConnection(c)
		return
	}
	if f.SlowMillis > 0 {
		delay := time.Duration(f.SlowMillis) * time.Millisecond
		// Sleep cannot fail, because its context never ends.
		_ = e.clock.Sleep(context.WithoutCancel(c.Request.Context()), delay)
	}
}

// WithShutdown returns a context that ends when ctx ends or shutdown begins.
func (e *Endpoint) WithShutdown(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	release := context.AfterFunc(e.stopping, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}

// Faults returns the present faults.
func (e *Endpoint) Faults() Faults { return *e.faults.Load() }

// CloseConnection aborts a call and closes its connection without an answer.
func CloseConnection(c *gin.Context) {
	c.Abort()
	nc, _, err := c.Writer.Hijack()
	if err != nil {
		return
	}
	nc.Close()
}
