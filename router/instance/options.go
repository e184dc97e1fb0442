package instance

import (
	"context"
	"net"
	"time"

	"cicadawell.dev/fleet/clock"
	"github.com/hashicorp/go-hclog"
)

// Option overrides a default of a network.
type Option func(*config)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

type config struct {
	// id is this instance's identifier.
	id    string
	clock clock.Clock
	log   hclog.Logger
	dial  Dialer

	// activeWindow is how long after a byte from the other side a connection
	// is used without a ping.
	activeWindow time.Duration
	// answeredWindow is the same for idempotent calls, if the last call was
	// answered.
	answeredWindow time.Duration
	// pingTimeout bounds the wait for the answer to a ping.
	pingTimeout time.Duration
	// dialTimeout bounds dialing and the handshake of a new connection.
	dialTimeout time.Duration
	// writeTimeout bounds the write of each part of a message.
	writeTimeout time.Duration
	// checkInterval is the interval between two checks of all connections.
	checkInterval time.Duration
	// idleTimeout is how long a connection without calls is kept.
	idleTimeout time.Duration
	// acceptedIdleTimeout is how long an accepted connection may send nothing.
	// It is longer than idleTimeout.
	acceptedIdleTimeout time.Duration
	// maxMessageBytes bounds the size of one message.
	maxMessageBytes uint64
	// maxHandlers bounds the number of handlers in progress.
	maxHandlers int64
	// maxTunnels bounds the number of tunnels open for other instances.
	maxTunnels int64
}

func defaults() config {
	return config{
		clock:               clock.System(),
		log:                 hclog.NewNullLogger(),
		dial:                dialTCP,
		activeWindow:        20 * time.Millisecond,
		answeredWindow:      3 * time.Second,
		pingTimeout:         300 * time.Millisecond,
		dialTimeout:         500 * time.Millisecond,
		writeTimeout:        time.Second,
		checkInterval:       500 * time.Millisecond,
		idleTimeout:         15 * time.Second,
		acceptedIdleTimeout: 45 * time.Second,
		maxMessageBytes:     8 << 20,
		maxHandlers:         4096,
		maxTunnels:          256,
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// WithID sets this instance's identifier.
func WithID(id string) Option { return func(c *config) { c.id = id } }

// WithClock sets the clock.
func WithClock(clk clock.Clock) Option { return func(c *config) { c.clock = clk } }

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option { return func(c *config) { c.log = log } }

// WithDialer sets the dialer of connections; TCP is the default.
func WithDialer(d Dialer) Option { return func(c *config) { c.dial = d } }

// WithPing sets how long after a byte from the other side a connection is used
// without a ping, and how long the answer to a ping may take.
func WithPing(activeWindow, timeout time.Duration) Option {
	return func(c *config) { c.activeWindow, c.pingTimeout = activeWindow, timeout }
}

// WithMaxHandlers bounds the number of handlers in progress.
func WithMaxHandlers(n int64) Option { return func(c *config) { c.maxHandlers = n } }

// WithMaxTunnels bounds the number of tunnels open for other instances.
func WithMaxTunnels(n int64) Option { return func(c *config) { c.maxTunnels = n } }

// WithMaxMessageBytes bounds the size of one message, in bytes.
func WithMaxMessageBytes(n uint64) Option { return func(c *config) { c.maxMessageBytes = n } }
