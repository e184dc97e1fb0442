// Package runner speaks with the runners: it sends one attempt of one stage
// and says truthfully what became of it.
package runner

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/link"
)

// Client sends attempts to runners. The outcome of each error says whether the
// attempt ran: NotRun when no byte left or the runner itself said so, Unknown
// when bytes left and no whole answer came back.
type Client interface {
	// Run sends an attempt that may be repeated, over a pooled connection.
	// Tokens of a streamed result go to sink, which may be nil. A result
	// larger than limit bytes fails with kind TooLarge.
	Run(ctx context.Context, to bundle.Runner, req runnerapi.RunRequest, limit int64, sink Sink) (runnerapi.RunResult, error)
	// RunOnce sends an attempt that may not be repeated, over a connection
	// of its own that was opened just now. It calls guard directly before
	// the write and writes nothing when guard fails.
	RunOnce(ctx context.Context, to bundle.Runner, req runnerapi.RunRequest, limit int64, guard func() error) (runnerapi.RunResult, error)
	// Cancel asks the runner to stop an attempt; it does not wait long.
	Cancel(ctx context.Context, to bundle.Runner, attempt string) error
	// Renew closes the idle connections to a runner, so that the next attempt
	// there goes over a new one.
	Renew(to bundle.Runner)
	// Load asks the runner for its load report.
	Load(ctx context.Context, to bundle.Runner) (runnerapi.Load, error)
	// Close closes the pooled connections.
	Close()
}

// Sink takes the tokens of a streamed result in order.
type Sink interface {
	Token(t runnerapi.Token) error
}

// Defaults of a client.
const (
	// dialTimeout bounds the opening of a connection within a region.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long a pooled connection may lie idle and still be
	// trusted.
	idleTimeout = 2 * time.Second
	// stallTimeout bounds the silence within a streamed result.
	stallTimeout = 2 * time.Second
	// connectionsPerRunner bounds the idle pool.
	connectionsPerRunner = 64
	// cancelTimeout bounds a cancellation.
	cancelTimeout = time.Second
)

// Option changes a client's defaults.
type Option func(*client)

// WithDialTimeout bounds the opening of a connection.
func WithDialTimeout(d time.Duration) Option {
	return func(c *client) { c.dialer.Timeout = d }
}

// WithStallTimeout bounds the silence within a streamed result.
func WithStallTimeout(d time.Duration) Option {
	return func(c *client) { c.stall = d }
}

// NewClient returns a client without connections.
func NewClient(clk clock.Clock, options ...Option) Client {
	c := &client{clk: clk, dialer: net.Dialer{Timeout: dialTimeout}, stall: stallTimeout}
	for _, o := range options {
		o(c)
	}
	c.pool = link.NewPool(
		link.WithClock(clk), link.WithDialTimeout(c.dialer.Timeout), link.WithIdleLimit(idleTimeout), link.WithIdlePer(connectionsPerRunner),
	)
	return c
}

type client struct {
	clk    clock.Clock
	dialer net.Dialer
	stall  time.Duration
	// pool has the connections of attempts that may be repeated.
	pool link.Pool
}

// Close closes the pooled connections.
func (c *client) Close() { c.pool.Close() }

// Cancel asks the runner to stop an attempt.
func (c *client) Cancel(ctx context.Context, to bundle.Runner, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	body, err := json.Marshal(runnerapi.Cancel{Attempt: attempt})
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode cancellation")
	}
	resp, err := c.post(ctx, to.Address, runnerapi.PathCancel, body)
	if err != nil {
		return fault.Wrap(fault.RunnerFailed, err, "cancel attempt at runner %s", to.ID)
	}
	defer resp.Close()
	if _, err := io.Copy(io.Discard, limited(resp.Body, maxRefusalBytes)); err != nil {
		return fault.Wrap(fault.RunnerFailed, err, "cancel attempt at runner %s", to.ID)
	}
	return nil
}

// Renew closes the idle connections to a runner.
func (c *client) Renew(to bundle.Runner) { c.pool.Forget(to.Address) }

// Load asks the runner for its load report.
func (c *client) Load(ctx context.Context, to bundle.Runner) (runnerapi.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	var load runnerapi.Load
	req := &link.Request{Method: http.MethodGet, Target: runnerapi.PathLoad, Host: to.Address, MaxIdle: idleTimeout}
	resp, err := c.pool.Exchange(ctx, to.Address, req)
	if err != nil {
		return load, fault.Wrap(fault.RunnerFailed, err, "ask runner %s for its load", to.ID)
	}
	defer resp.Close()
	data, err := readAll(limited(resp.Body, maxRefusalBytes), min(resp.Length, maxRefusalBytes))
	if err == nil {
		err = json.Unmarshal(data, &load)
	}
	if err != nil {
		return load, fault.Wrap(fault.RunnerFailed, err, "read the load of runner %s", to.ID)
	}
	return load, nil
}
