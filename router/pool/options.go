package pool

import (
	"math"
	"time"
)

// Policy selects how a runner is chosen among those with an available slot.
type Policy int

// PolicyRoundRobin and PolicyLeastReported exist for comparisons.
const (
	// PolicyTwoChoice takes the cheaper of two random runners of the zone, or of
	// the other zones if the zone has no available slot. The
	// cost is computed from this instance's and the other instances' work in
	// flight and from the latency.
	PolicyTwoChoice Policy = iota
	// PolicyRoundRobin takes the runners in rotation.
	PolicyRoundRobin
	// PolicyLeastReported takes the runner with the least reported load.
	PolicyLeastReported
)

// DefaultAttemptTimeout is the maximum duration of one attempt if the topology
// does not set one.
const DefaultAttemptTimeout = 4 * time.Second

const (
	defaultHeadroom   = 0.1
	defaultMaxQueue   = 512
	defaultSubsetSize = 64
	defaultSeed       = 1
	// defaultAffinityBound is the ratio of a runner's load to the mean load
	// above which a request with a prompt prefix goes to another runner.
	defaultAffinityBound = 1.25
	// unlimited is the limit of every runner without admission control.
	unlimited = math.MaxInt32
)

// settings holds the options of New.
type settings struct {
	policy Policy
	// admission enables the limits of runners and the queueing of requests.
	admission bool
	// deadlineChecks enables the refusal of requests that are expected to miss
	// their deadline.
	deadlineChecks bool
	// headroom is the fraction of each limit that free work leaves unused.
	headroom float64
	// maxQueue is the maximum number of waiting requests of one tier class in a
	// group.
	maxQueue int
	// subsetSize is the minimum number of runners of a service and model that an
	// instance uses in its own zone if there are more, and likewise in all other
	// zones together. A subset holds less than twice as many, unless
	// minInstancesPerRunner calls for a larger one.
	subsetSize    int
	seed          uint64
	affinityBound float64
}

func defaults() settings {
	return settings{
		policy:         PolicyTwoChoice,
		admission:      true,
		deadlineChecks: true,
		headroom:       defaultHeadroom,
		maxQueue:       defaultMaxQueue,
		subsetSize:     defaultSubsetSize,
		seed:           defaultSeed,
		affinityBound:  defaultAffinityBound,
	}
}

// Option changes a default of New.
type Option func(*settings)

// WithPolicy sets how a runner is chosen.
func WithPolicy(p Policy) Option { return func(s *settings) { s.policy = p } }

// WithoutAdmission removes all limits, so that no request is refused or queued
// because of them.
func WithoutAdmission() Option { return func(s *settings) { s.admission = false } }

// WithoutDeadlineChecks accepts requests that are expected to miss their
// deadline.
func WithoutDeadlineChecks() Option { return func(s *settings) { s.deadlineChecks = false } }

// WithHeadroom sets the fraction of each limit that free work leaves unused.
func WithHeadroom(part float64) Option { return func(s *settings) { s.headroom = part } }

// WithMaxQueue sets the maximum number of waiting requests of one tier class in
// a group.
func WithMaxQueue(n int) Option { return func(s *settings) { s.maxQueue = n } }

// WithSubsetSize sets the minimum number of runners of a service and model that
// an instance uses in its own zone if there are more, and likewise in all other
// zones together.
func WithSubsetSize(n int) Option { return func(s *settings) { s.subsetSize = n } }

// WithSeed sets the seed of the random choices.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }
