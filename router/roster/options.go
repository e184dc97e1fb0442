package roster

import (
	"context"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/roster/viewlease"
	"github.com/hashicorp/go-hclog"
)

// Store is the part of the platform's key-value service that the roster uses.
// Its reads are linearizable.
type Store interface {
	Get(ctx context.Context, key string) (entry *platformapi.Entry, revision uint64, err error)
	List(ctx context.Context, prefix string) (entries []platformapi.Entry, revision uint64, err error)
	Put(ctx context.Context, put platformapi.PutRequest) (revision uint64, err error)
	Watch(ctx context.Context, watch platformapi.WatchRequest) (platformapi.WatchResponse, error)
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	KeepAlive(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// Option overrides a default.
type Option func(*config)

type config struct {
	clock  clock.Clock
	log    hclog.Logger
	store  Store
	mesh   instance.Mesh
	timing viewlease.Timing

	// leaseTTL is how long a registration remains after its last renewal.
	leaseTTL time.Duration
	// renewInterval is the time between renewals of the registration's lease.
	renewInterval time.Duration
	// readInterval is the time between reads of the view.
	readInterval time.Duration
	// watchTimeout bounds one watch call for changes of the registrations.
	watchTimeout time.Duration
	// roundInterval is the time between rounds of promise requests to the other
	// members; roundTimeout bounds the wait for their replies.
	roundInterval, roundTimeout time.Duration
	// transitionInterval is the time between rounds while a view is not yet in
	// effect.
	transitionInterval time.Duration
	// callTimeout bounds a call to the store.
	callTimeout time.Duration
	// retryDelay is the delay after a failed call to the store.
	retryDelay time.Duration
}

func defaults() config {
	return config{
		clock:              clock.System(),
		log:                hclog.NewNullLogger(),
		timing:             viewlease.DefaultTiming(),
		leaseTTL:           4 * time.Second,
		renewInterval:      1300 * time.Millisecond,
		readInterval:       2 * time.Second,
		watchTimeout:       20 * time.Second,
		roundInterval:      time.Second,
		roundTimeout:       700 * time.Millisecond,
		transitionInterval: 100 * time.Millisecond,
		callTimeout:        time.Second,
		retryDelay:         500 * time.Millisecond,
	}
}

// WithClock sets the clock.
func WithClock(clk clock.Clock) Option { return func(c *config) { c.clock = clk } }

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option { return func(c *config) { c.log = log } }

// WithStore sets the platform's store.
func WithStore(s Store) Option { return func(c *config) { c.store = s } }

// WithMesh sets the mesh through which other instances are called.
func WithMesh(m instance.Mesh) Option { return func(c *config) { c.mesh = m } }

// WithTiming sets the durations of the protocol, which all members must share.
func WithTiming(t viewlease.Timing) Option { return func(c *config) { c.timing = t } }

// WithLease sets how long a registration remains after its last renewal, and
// the time between renewals.
func WithLease(ttl, renewInterval time.Duration) Option {
	return func(c *config) { c.leaseTTL, c.renewInterval = ttl, renewInterval }
}
