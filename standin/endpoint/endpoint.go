// Package endpoint serves HTTP for the stand-ins: it tells when it listens,
// takes faults at its control paths and ends on a signal.
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

// Paths for the tests that drive a stand-in.
const (
	// PathFaults takes Faults, which replace those in force.
	PathFaults = "/control/faults"
	// PathRecord answers with what the stand-in has done.
	PathRecord = "/control/record"

	controlPrefix = "/control/"
)

// stopGrace bounds the wait for calls in flight when the process ends.
const stopGrace = 5 * time.Second

// Faults are the faults that a stand-in shows. Those of one kind of stand-in
// do nothing on another.
type Faults struct {
	// Down closes every call without an answer and without effect.
	Down bool `json:"down,omitempty"`
	// SlowMillis delays every call before it takes effect. A call whose
	// client has given up takes effect all the same.
	SlowMillis int64 `json:"slowMillis,omitempty"`
	// Silence makes the connections that are open now silent for good.
	Silence bool `json:"silence,omitempty"`
	// LoseWrites is how many writes to the store take effect without an
	// answer from now on.
	LoseWrites int64 `json:"loseWrites,omitempty"`
	// TurnCold starts a runner's cold start now.
	TurnCold bool `json:"turnCold,omitempty"`
	// SlowFactor multiplies the time that a runner's work takes.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// Refuse makes a runner refuse all work, which it then does not run.
	Refuse bool `json:"refuse,omitempty"`
	// DropBefore and DropAfter are how many calls lose their connection
	// from now on, before the work is run and after.
	DropBefore int64 `json:"dropBefore,omitempty"`
	DropAfter  int64 `json:"dropAfter,omitempty"`
}

// Ready is the line that every stand-in and router prints once it listens.
type Ready struct {
	Ready   string `json:"ready"`
	Address string `json:"address"`
	// Operators is where a router listens for operators.
	Operators string `json:"operators,omitempty"`
}

// Endpoint is the HTTP side of one stand-in.
type Endpoint struct {
	*gin.Engine
	clock  clock.Clock
	faults atomic.Pointer[Faults]
	conns  *conns
	// onFaults are told of each new value.
	onFaults []func(Faults)
	// stopping ends when the process is told to stop; Serve sets it.
	stopping context.Context
}

// connKey is the key of a call's connection in its context.
type connKey struct{}

// New returns an endpoint; routes are added to it before Serve.
func New(clk clock.Clock) *Endpoint {
	gin.SetMode(gin.ReleaseMode)
	e := &Endpoint{Engine: gin.New(), clock: clk}
	e.faults.Store(&Faults{})
	e.Use(e.applyFaults)
	e.POST(PathFaults, e.setFaults)
	return e
}

// OnFaults calls f with each new value of the faults.
func (e *Endpoint) OnFaults(f func(Faults)) { e.onFaults = append(e.onFaults, f) }

// Serve listens at address, prints the line Ready to w and serves until ctx
// ends or the process is told to stop.
func (e *Endpoint) Serve(ctx context.Context, id, address string, w io.Writer) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen at %s", address)
	}
	e.conns = newConns(l)
	e.stopping = ctx
	server := &http.Server{
		Handler:           e.Engine,
		ReadHeaderTimeout: stopGrace,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(e.conns) })
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

// Bind decodes the body of a call; ok is false when it could not, which the
// call is then told.
func Bind[T any](c *gin.Context) (req T, ok bool) {
	err := c.ShouldBindJSON(&req)
	if err != nil {
		c.String(http.StatusBadRequest, err.Error())
	}
	return req, err == nil
}

func (e *Endpoint) setFaults(c *gin.Context) {
	f, ok := Bind[Faults](c)
	if !ok {
		return
	}
	e.faults.Store(&f)
	for _, on := range e.onFaults {
		on(f)
	}
	if f.Silence {
		e.conns.silence(c.Request.Context().Value(connKey{}))
	}
	c.Status(http.StatusOK)
}

func (e *Endpoint) applyFaults(c *gin.Context) {
	if strings.HasPrefix(c.Request.URL.Path, controlPrefix) {
		return
	}
	f := e.faults.Load()
	if f.Down {
		Drop(c)
		return
	}
	if f.SlowMillis > 0 {
		delay := time.Duration(f.SlowMillis) * time.Millisecond
		// The sleep cannot fail: its context never ends.
		_ = e.clock.Sleep(context.WithoutCancel(c.Request.Context()), delay)
	}
}

// UntilStop returns a context that ends with ctx or when the process is told
// to stop.
func (e *Endpoint) UntilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	release := context.AfterFunc(e.stopping, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}

// Faults returns the faults in force.
func (e *Endpoint) Faults() Faults { return *e.faults.Load() }

// Drop closes the connection of a call without an answer.
func Drop(c *gin.Context) {
	c.Abort()
	nc, _, err := c.Writer.Hijack()
	if err != nil {
		return
	}
	nc.Close()
}
