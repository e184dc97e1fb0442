package ledger

import (
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/journal"
	"github.com/hashicorp/go-hclog"
)

// Option configures a ledger.
type Option func(*config)

type config struct {
	// id is this instance's identifier.
	id       string
	clock    clock.Clock
	log      hclog.Logger
	mesh     instance.Mesh
	roster   Roster
	executor Executor
	// journal records which calls were forwarded, joined or replayed; plain
	// runs are not recorded. It may be nil.
	journal Journal

	// keyWindow is how long after its minting a key is kept.
	keyWindow time.Duration
	// callerSkew is how far ahead of an instance's clock the mint time of a
	// key may be.
	callerSkew time.Duration
	// instanceSkew bounds the difference between an instance's clock and
	// the true time.
	instanceSkew time.Duration
	// settleTimeout is how long a call is retried here while its home is
	// changing.
	settleTimeout time.Duration
	// handoverTimeout bounds the sending of a handover, and handoverWait
	// how long the new home waits for one.
	handoverTimeout, handoverWait time.Duration
	// maxEntries bounds the number of keys in the table.
	maxEntries int
	// maxResponseBytes bounds the total size of the stored responses, in bytes.
	maxResponseBytes int
}

func defaults() config {
	return config{
		clock:            clock.System(),
		log:              hclog.NewNullLogger(),
		keyWindow:        time.Hour,
		callerSkew:       500 * time.Millisecond,
		instanceSkew:     100 * time.Millisecond,
		settleTimeout:    time.Second,
		handoverTimeout:  10 * time.Second,
		handoverWait:     2 * time.Second,
		maxEntries:       100_000,
		maxResponseBytes: 16 << 20,
	}
}

// WithID sets this instance's identifier.
func WithID(id string) Option { return func(c *config) { c.id = id } }

// WithClock sets the clock.
func WithClock(clk clock.Clock) Option { return func(c *config) { c.clock = clk } }

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option { return func(c *config) { c.log = log } }

// Journal records decisions.
type Journal interface {
	Record(d journal.Decision)
}

// WithJournal sets where decisions are recorded.
func WithJournal(j Journal) Option { return func(c *config) { c.journal = j } }

// WithMesh sets the connection to the other instances.
func WithMesh(m instance.Mesh) Option { return func(c *config) { c.mesh = m } }

// WithRoster sets the source of the membership view.
func WithRoster(r Roster) Option { return func(c *config) { c.roster = r } }

// WithExecutor sets the executor of calls whose home is this instance.
func WithExecutor(r Executor) Option { return func(c *config) { c.executor = r } }

// WithKeyWindow sets how long after its minting a key is kept.
func WithKeyWindow(d time.Duration) Option { return func(c *config) { c.keyWindow = d } }

// WithSkew sets how far ahead the mint time of a key may be, and the bound on
// the difference between an instance's clock and the true time.
func WithSkew(caller, instance time.Duration) Option {
	return func(c *config) { c.callerSkew, c.instanceSkew = caller, instance }
}

// WithTableLimits bounds the number of keys in the table and the bytes of their
// responses.
func WithTableLimits(maxEntries, maxResponseBytes int) Option {
	return func(c *config) { c.maxEntries, c.maxResponseBytes = maxEntries, maxResponseBytes }
}

// WithSettleTimeout sets how long a call is retried here while its home is changing.
func WithSettleTimeout(d time.Duration) Option { return func(c *config) { c.settleTimeout = d } }
