package pool

import (
	"math"
	"time"
)

// Policy is a way to choose among the runners that have a place.
type Policy int

// The policies. The last two serve comparisons.
const (
	// PolicyTwoChoice takes the cheaper of two random runners of the zone,
	// by work in flight, the other instances' work and latency.
	PolicyTwoChoice Policy = iota
	// PolicyRoundRobin takes the runners in turn.
	PolicyRoundRobin
	// PolicyLeastReported takes the runner with the least reported load.
	PolicyLeastReported
)

// DefaultLongest is how long one attempt may run where the topology does not
// say it.
const DefaultLongest = 4 * time.Second

const (
	defaultHeadroom = 0.1
	defaultQueue    = 512
	defaultSubset   = 64
	defaultSeed     = 1
	// defaultAffinityBound is how far a runner's load may exceed the mean
	// before a prompt prefix goes elsewhere.
	defaultAffinityBound = 1.25
	// unlimited is the limit of every runner without admission.
	unlimited = math.MaxInt32
)

// settings are fixed when the pools are made.
type settings struct {
	policy Policy
	// admission is false for runners without limits and asks without queue.
	admission bool
	// budgets is false when asks are kept although they come too late.
	budgets bool
	// headroom is the part of each limit that free work leaves unused.
	headroom float64
	// queue is how many asks of a tier class may wait in one group.
	queue int
	// subset is how many runners of a zone an instance uses at most.
	subset        int
	seed          uint64
	affinityBound float64
}

func defaults() settings {
	return settings{
		policy:        PolicyTwoChoice,
		admission:     true,
		budgets:       true,
		headroom:      defaultHeadroom,
		queue:         defaultQueue,
		subset:        defaultSubset,
		seed:          defaultSeed,
		affinityBound: defaultAffinityBound,
	}
}

// Option changes a default of New.
type Option func(*settings)

// WithPolicy sets how a runner is chosen.
func WithPolicy(p Policy) Option { return func(s *settings) { s.policy = p } }

// WithoutAdmission lifts all limits, so that nothing is refused or waits.
func WithoutAdmission() Option { return func(s *settings) { s.admission = false } }

// WithoutBudgets keeps asks that can no longer make their deadline.
func WithoutBudgets() Option { return func(s *settings) { s.budgets = false } }

// WithHeadroom sets the part of each limit that free work leaves unused.
func WithHeadroom(part float64) Option { return func(s *settings) { s.headroom = part } }

// WithQueue sets how many asks of a tier class may wait in one group.
func WithQueue(n int) Option { return func(s *settings) { s.queue = n } }

// WithSubset sets how many runners of a zone an instance uses at most.
func WithSubset(n int) Option { return func(s *settings) { s.subset = n } }

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }
