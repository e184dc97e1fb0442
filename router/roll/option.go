package roll

import "time"

// config holds the periods and bounds of rolls.
type config struct {
	// watchWait bounds one watch of the store.
	watchWait time.Duration
	// retryPause follows a failed call to the store.
	retryPause time.Duration
	// exchangePeriod is the time between two questions to another instance.
	exchangePeriod time.Duration
	// drivePeriod is the time between two passes of a roll that is held.
	drivePeriod time.Duration
	// takeOverAfter is how long a roll stands still before another instance
	// drives it.
	takeOverAfter time.Duration
	// ackAge is how long an acknowledgement of a staged version counts.
	ackAge time.Duration
	// callTimeout bounds a call to another instance, stageTimeout one that
	// may fetch a content, and applyTimeout one that brings it in force.
	callTimeout, stageTimeout, applyTimeout time.Duration
	// joinPatience is how long a starting instance waits for a majority of
	// the listed instances.
	joinPatience time.Duration
	// guestPatience is how long an instance that joined is named in
	// acknowledgements while the platform's list does not show it.
	guestPatience time.Duration
	// fanOut is how many instances are called at once, and perSource how
	// many fetch from the same instance at once.
	fanOut, perSource int
}

func defaults() config {
	return config{
		watchWait:      10 * time.Second,
		retryPause:     500 * time.Millisecond,
		exchangePeriod: time.Second,
		drivePeriod:    500 * time.Millisecond,
		takeOverAfter:  2 * time.Second,
		ackAge:         10 * time.Second,
		callTimeout:    time.Second,
		stageTimeout:   10 * time.Second,
		applyTimeout:   3 * time.Second,
		joinPatience:   3 * time.Second,
		guestPatience:  time.Minute,
		fanOut:         64,
		perSource:      4,
	}
}

// Option changes a period or bound of rolls.
type Option func(*config)

// WithCallTimeouts bounds calls to other instances, and those that may fetch
// a content.
func WithCallTimeouts(call, stage time.Duration) Option {
	return func(c *config) { c.callTimeout, c.stageTimeout, c.applyTimeout = call, stage, stage }
}
