package roll

import "time"

// config holds the periods and limits of rollouts.
type config struct {
	// watchWait is the longest wait of one watch request to the store.
	watchWait time.Duration
	// retryDelay is the delay after a failed call to the store.
	retryDelay time.Duration
	// gossipPeriod is the time between two status requests to other instances.
	gossipPeriod time.Duration
	// passPeriod is the delay between two passes of a rollout. It grows while
	// the rollout is blocked.
	passPeriod time.Duration
	// failoverTimeout is how long a rollout makes no progress before another
	// instance may take it over.
	failoverTimeout time.Duration
	// ackLifetime is how long an acknowledgement of a staged version is valid.
	ackLifetime time.Duration
	// callTimeout limits a call to another instance, stageTimeout a call that
	// may fetch a content, and applyTimeout a call that puts a content in
	// force.
	callTimeout, stageTimeout, applyTimeout time.Duration
	// majorityTimeout is how long a starting instance waits for a majority of
	// the other listed instances. After that, one answer is enough.
	majorityTimeout time.Duration
	// joinRetention is how long an instance that joined is reported in
	// acknowledgements, because the platform's list may not show it yet.
	joinRetention time.Duration
	// maxConcurrentCalls is how many instances are called at once, and
	// fetchesPerSource how many fetch from the same instance at once.
	maxConcurrentCalls, fetchesPerSource int
}

func defaults() config {
	return config{
		watchWait:          10 * time.Second,
		retryDelay:         500 * time.Millisecond,
		gossipPeriod:       time.Second,
		passPeriod:         500 * time.Millisecond,
		failoverTimeout:    2 * time.Second,
		ackLifetime:        10 * time.Second,
		callTimeout:        time.Second,
		stageTimeout:       10 * time.Second,
		applyTimeout:       3 * time.Second,
		majorityTimeout:    3 * time.Second,
		joinRetention:      time.Minute,
		maxConcurrentCalls: 64,
		fetchesPerSource:   4,
	}
}

// Option changes a period or limit of rollouts.
type Option func(*config)

// WithCallTimeouts sets the timeouts of calls to other instances: call for
// plain calls, stage for those that may fetch a content or put it in force.
func WithCallTimeouts(call, stage time.Duration) Option {
	return func(c *config) { c.callTimeout, c.stageTimeout, c.applyTimeout = call, stage, stage }
}
