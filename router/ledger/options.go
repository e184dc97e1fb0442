package ledger

import (
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/journal"
	"github.com/hashicorp/go-hclog"
)

// Option changes a default.
type Option func(*config)

type config struct {
	// id is this instance's identifier.
	id     string
	clock  clock.Clock
	log    hclog.Logger
	mesh   instance.Mesh
	roster Roster
	runner Runner
	// journal takes in what became of each call, or is nil.
	journal Journal

	// keyWindow is how long after its minting a key is remembered.
	keyWindow time.Duration
	// callerSkew is how far ahead of an instance's clock a key may have
	// been minted.
	callerSkew time.Duration
	// instanceSkew bounds the difference between an instance's clock and
	// the true time.
	instanceSkew time.Duration
	// settleFor is how long a call waits here for a home that is changing.
	settleFor time.Duration
	// handOverFor is how long a handover is attempted, and awaitFor how long
	// one is waited for.
	handOverFor, awaitFor time.Duration
	// maxEntries bounds the keys remembered.
	maxEntries int
	// maxAnswerBytes bounds the answers remembered, over all keys.
	maxAnswerBytes int
}

func defaults() config {
	return config{
		clock:          clock.System(),
		log:            hclog.NewNullLogger(),
		keyWindow:      time.Hour,
		callerSkew:     500 * time.Millisecond,
		instanceSkew:   100 * time.Millisecond,
		settleFor:      time.Second,
		handOverFor:    10 * time.Second,
		awaitFor:       2 * time.Second,
		maxEntries:     100_000,
		maxAnswerBytes: 16 << 20,
	}
}

// WithID sets this instance's identifier.
func WithID(id string) Option { return func(c *config) { c.id = id } }

// WithClock sets the clock.
func WithClock(clk clock.Clock) Option { return func(c *config) { c.clock = clk } }

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option { return func(c *config) { c.log = log } }

// Journal takes in decisions.
type Journal interface {
	Record(d journal.Decision)
}

// WithJournal sets where decisions are recorded.
func WithJournal(j Journal) Option { return func(c *config) { c.journal = j } }

// WithMesh sets the way to the other instances.
func WithMesh(m instance.Mesh) Option { return func(c *config) { c.mesh = m } }

// WithRoster sets the source of the agreed view.
func WithRoster(r Roster) Option { return func(c *config) { c.roster = r } }

// WithRunner sets what runs a call at its home.
func WithRunner(r Runner) Option { return func(c *config) { c.runner = r } }

// WithKeyWindow sets how long after its minting a key is remembered.
func WithKeyWindow(d time.Duration) Option { return func(c *config) { c.keyWindow = d } }

// WithSkew sets how far ahead a key may have been minted, and the bound on the
// difference between an instance's clock and the true time.
func WithSkew(caller, instance time.Duration) Option {
	return func(c *config) { c.callerSkew, c.instanceSkew = caller, instance }
}

// WithTable bounds the keys and the bytes of answers that are remembered.
func WithTable(maxEntries, maxAnswerBytes int) Option {
	return func(c *config) { c.maxEntries, c.maxAnswerBytes = maxEntries, maxAnswerBytes }
}

// WithSettling sets how long a call waits here for a home that is changing.
func WithSettling(d time.Duration) Option { return func(c *config) { c.settleFor = d } }
