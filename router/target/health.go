package target

import "time"

const (
	// firstBackoff is the initial backoff of a runner that failed. Each further
	// failure doubles it, up to lastBackoff.
	firstBackoff = 500 * time.Millisecond
	lastBackoff  = 4 * time.Second
	// maxConsecutiveFailures is the number of consecutive failures that starts a
	// backoff.
	maxConsecutiveFailures = 3
	// smoothing is the weight of the newest sample in exponential moving averages,
	// which cover about the last ten samples.
	smoothing = 0.2
	// maxFailureRate is the moving average of the failure rate above which a
	// backoff starts.
	maxFailureRate = 0.35
	// initialLatency is the assumed latency of runners that haven't answered yet.
	initialLatency = 20 * time.Millisecond
)

// health tracks the failures and the latency of a runner, and its backoff.
type health struct {
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures int
	// failureRate is the exponential moving average of the share of failed calls.
	failureRate float64
	// latency is the exponential moving average of the time to an answer; zero
	// before the first one.
	latency time.Duration
	// backoffSince is when the last backoff started, backoffUntil when it ends.
	backoffSince, backoffUntil time.Time
	// backoff is the length of the last backoff; zero after a success.
	backoff time.Duration
}

func (h *health) success(d time.Duration) {
	h.consecutiveFailures = 0
	h.failureRate -= smoothing * h.failureRate
	h.backoff = 0
	if h.latency == 0 {
		h.latency = d
		return
	}
	h.latency += time.Duration(smoothing * float64(d-h.latency))
}

func (h *health) failure(now time.Time) {
	h.consecutiveFailures++
	h.failureRate += smoothing * (1 - h.failureRate)
	if h.consecutiveFailures >= maxConsecutiveFailures || h.failureRate > maxFailureRate {
		h.backOff(now)
	}
}

// connectionFailed records a failure and starts a backoff at once.
func (h *health) connectionFailed(now time.Time) {
	h.consecutiveFailures++
	h.failureRate += smoothing * (1 - h.failureRate)
	h.backOff(now)
}

// backOff starts a backoff, twice as long as the last one.
func (h *health) backOff(now time.Time) {
	h.backoff = min(max(2*h.backoff, firstBackoff), lastBackoff)
	h.backoffSince, h.backoffUntil = now, now.Add(h.backoff)
}

// forget ends the backoff if it started at since or later, with the failures that led
// to it.
func (h *health) forget(since time.Time) {
	if h.backoffSince.Before(since) {
		return
	}
	h.consecutiveFailures, h.failureRate = 0, 0
	h.backoff, h.backoffSince, h.backoffUntil = 0, time.Time{}, time.Time{}
}

func (h *health) expectedLatency() time.Duration {
	if h.latency == 0 {
		return initialLatency
	}
	return h.latency
}
