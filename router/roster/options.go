package roster

import (
	"context"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/roster/hold"
	"github.com/hashicorp/go-hclog"
)

// Store is what the roster needs of the platform's key-value service. Its reads
// are linearizable.
type Store interface {
	Get(ctx context.Context, key string) (entry *platformapi.Entry, revision uint64, err error)
	List(ctx context.Context, prefix string) (entries []platformapi.Entry, revision uint64, err error)
	Put(ctx context.Context, put platformapi.PutRequest) (revision uint64, err error)
	Watch(ctx context.Context, watch platformapi.WatchRequest) (platformapi.WatchResponse, error)
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	KeepAlive(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// Option changes a default.
type Option func(*config)

type config struct {
	clock  clock.Clock
	log    hclog.Logger
	store  Store
	mesh   instance.Mesh
	timing hold.Timing

	// leaseTTL is how long a registration outlives its last renewal.
	leaseTTL time.Duration
	// renewEvery is the period of renewing the lease.
	renewEvery time.Duration
	// readEvery is the period of reading the view.
	readEvery time.Duration
	// watchFor bounds one wait for changes of the registrations.
	watchFor time.Duration
	// askEvery is the period of asking the other members, and askWithin
	// bounds the wait for their replies.
	askEvery, askWithin time.Duration
	// unsettledEvery is the period of asking while a view is not yet in
	// effect.
	unsettledEvery time.Duration
	// callWithin bounds a call to the store.
	callWithin time.Duration
	// retryEvery is the wait after a failed call to the store.
	retryEvery time.Duration
}

func defaults() config {
	return config{
		clock:          clock.System(),
		log:            hclog.NewNullLogger(),
		timing:         hold.DefaultTiming(),
		leaseTTL:       4 * time.Second,
		renewEvery:     1300 * time.Millisecond,
		readEvery:      2 * time.Second,
		watchFor:       20 * time.Second,
		askEvery:       time.Second,
		askWithin:      700 * time.Millisecond,
		unsettledEvery: 100 * time.Millisecond,
		callWithin:     time.Second,
		retryEvery:     500 * time.Millisecond,
	}
}

// WithClock sets the clock.
func WithClock(clk clock.Clock) Option { return func(c *config) { c.clock = clk } }

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option { return func(c *config) { c.log = log } }

// WithStore sets the platform's store.
func WithStore(s Store) Option { return func(c *config) { c.store = s } }

// WithMesh sets the way to the other instances.
func WithMesh(m instance.Mesh) Option { return func(c *config) { c.mesh = m } }

// WithTiming sets the spans that all members share.
func WithTiming(t hold.Timing) Option { return func(c *config) { c.timing = t } }

// WithLease sets how long a registration outlives its last renewal, and the
// period of renewing it.
func WithLease(ttl, renewEvery time.Duration) Option {
	return func(c *config) { c.leaseTTL, c.renewEvery = ttl, renewEvery }
}
