// Package runner is the client for runners. It sends one attempt of one stage
// and reports its result or, for an error, whether the attempt ran.
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

// Client sends attempts to runners. The outcome of each error states whether
// the attempt ran: NotRun if no byte was sent or the runner reported it, Unknown
// if bytes were sent and no complete response was received.
type Client interface {
	// Run sends an attempt that may be retried, over a pooled connection.
	// Tokens of a streamed result go to sink, which may be nil. A result
	// larger than limit bytes fails with kind TooLarge.
	Run(ctx context.Context, to bundle.Runner, req runnerapi.RunRequest, limit int64, sink TokenSink) (runnerapi.RunResult, error)
	// RunOnce sends an attempt that must not be retried, over a new
	// connection of its own. It calls guard directly before the write; if
	// guard fails, RunOnce returns its error and writes nothing.
	RunOnce(ctx context.Context, to bundle.Runner, req runnerapi.RunRequest, limit int64, guard func() error) (runnerapi.RunResult, error)
	// Cancel asks the runner to stop an attempt and waits at most a second.
	Cancel(ctx context.Context, to bundle.Runner, attempt string) error
	// Renew closes the idle connections to a runner, so that the next attempt
	// at that runner uses a new connection.
	CloseIdle(to bundle.Runner)
	// Load fetches the runner's load report.
	Load(ctx context.Context, to bundle.Runner) (runnerapi.Load, error)
	// Close closes the pooled connections.
	Close()
}

// Sink receives the tokens of a streamed result in order.
type TokenSink interface {
	Token(t runnerapi.Token) error
}

// Defaults of a client and fixed limits.
const (
	// dialTimeout bounds the dialing of a connection within a region.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long a pooled connection may be idle and still be
	// reused.
	idleTimeout = 2 * time.Second
	// stallTimeout bounds the time between two events of a streamed result.
	stallTimeout = 2 * time.Second
	// connectionsPerRunner bounds the idle connections to one runner.
	connectionsPerRunner = 64
	// cancelTimeout bounds a cancellation and a load request.
	cancelTimeout = time.Second
)

// Option configures a client.
type Option func(*client)

// WithDialTimeout bounds the dialing of a connection.
func WithDialTimeout(d time.Duration) Option {
	return func(c *client) { c.dialer.Timeout = d }
}

// WithStallTimeout bounds the time between two events of a streamed result.
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
		link.WithClock(clk), link.WithDialTimeout(c.dialer.Timeout), link.WithIdleTimeout(idleTimeout), link.WithMaxIdlePerAddress(connectionsPerRunner),
	)
	return c
}

type client struct {
	clk    clock.Clock
	dialer net.Dialer
	stall  time.Duration
	// pool holds the connections for all calls except RunOnce.
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
	if _, err := io.Copy(io.Discard, limitReader(resp.Body, maxRefusalBytes)); err != nil {
		return fault.Wrap(fault.RunnerFailed, err, "cancel attempt at runner %s", to.ID)
	}
	return nil
}

// Renew closes the idle connections to a runner.
func (c *client) CloseIdle(to bundle.Runner) { c.pool.CloseIdle(to.Address) }

// Load fetches the runner's load report.
func (c *client) Load(ctx context.Context, to bundle.Runner) (runnerapi.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	var load runnerapi.Load
	req := &link.Request{Method: http.MethodGet, Target: runnerapi.PathLoad, Host: to.Address, MaxIdleTime: idleTimeout}
	resp, err := c.pool.Exchange(ctx, to.Address, req)
	if err != nil {
		return load, fault.Wrap(fault.RunnerFailed, err, "ask runner %s for its load", to.ID)
	}
	defer resp.Close()
	data, err := readAll(limitReader(resp.Body, maxRefusalBytes), min(resp.Length, maxRefusalBytes))
	if err == nil {
		err = json.Unmarshal(data, &load)
	}
	if err != nil {
		return load, fault.Wrap(fault.RunnerFailed, err, "read the load of runner %s", to.ID)
	}
	return load, nil
}
