package instance

import (
	"context"
	"net"
	"time"

	"cicadawell.dev/fleet/clock"
	"github.com/hashicorp/go-hclog"
)

// Option changes a default.
type Option func(*config)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

type config struct {
	// id is this instance's identifier.
	id    string
	clock clock.Clock
	log   hclog.Logger
	dial  Dialer

	// provenFor is how long after a byte from the other side a connection
	// is trusted without a ping.
	provenFor time.Duration
	// answeredFor is how long it is trusted with a repeatable call.
	answeredFor time.Duration
	// pingWithin bounds the wait for the answer to a ping.
	pingWithin time.Duration
	// dialWithin bounds a new connection together with its greeting.
	dialWithin time.Duration
	// writeWithin bounds the write of one message.
	writeWithin time.Duration
	// checkEvery is the period of the progress check.
	checkEvery time.Duration
	// idleLimit is how long a connection without calls is kept.
	idleLimit time.Duration
	// silenceLimit is how long an accepted connection may send nothing.
	// It is longer than idleLimit.
	silenceLimit time.Duration
	// maxMessage bounds one message.
	maxMessage uint64
	// maxRunning bounds the handlers in progress.
	maxRunning int64
}

func defaults() config {
	return config{
		clock:        clock.System(),
		log:          hclog.NewNullLogger(),
		dial:         dialTCP,
		provenFor:    20 * time.Millisecond,
		answeredFor:  3 * time.Second,
		pingWithin:   300 * time.Millisecond,
		dialWithin:   500 * time.Millisecond,
		writeWithin:  time.Second,
		checkEvery:   500 * time.Millisecond,
		idleLimit:    15 * time.Second,
		silenceLimit: 45 * time.Second,
		maxMessage:   8 << 20,
		maxRunning:   4096,
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

// WithDialer sets how connections are opened; TCP is the default.
func WithDialer(d Dialer) Option { return func(c *config) { c.dial = d } }

// WithPing sets for how long a connection is trusted after a byte from the
// other side, and how long the answer to a ping may take.
func WithPing(provenFor, within time.Duration) Option {
	return func(c *config) { c.provenFor, c.pingWithin = provenFor, within }
}

// WithMaxRunning bounds the handlers in progress.
func WithMaxRunning(n int64) Option { return func(c *config) { c.maxRunning = n } }

// WithMaxMessage bounds one message, in bytes.
func WithMaxMessage(n uint64) Option { return func(c *config) { c.maxMessage = n } }
