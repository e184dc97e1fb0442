package target

import "time"

const (
	// firstBackoff is for how long a runner is left alone after it failed, and
	// lastBackoff the longest such time; each further failure doubles it.
	firstBackoff = 500 * time.Millisecond
	lastBackoff  = 4 * time.Second
	// failuresInRow is how many failures without a success between them set a
	// runner aside.
	failuresInRow = 3
	// smoothing is the weight of the newest sample in moving averages, about
	// the last ten samples.
	smoothing = 0.2
	// failureShare is the moving share of failures that sets a runner aside.
	failureShare = 0.35
	// startLatency stands for the time of runners that haven't answered yet.
	startLatency = 20 * time.Millisecond
)

// health is what the answers of a runner say of it.
type health struct {
	// inRow counts the failures since the last success.
	inRow int
	// share is the moving share of failures.
	share float64
	// latency is the moving mean of the time to an answer; zero before the
	// first one.
	latency time.Duration
	// backoffUntil is when the runner is tried again.
	backoffUntil time.Time
	backoff      time.Duration
}

func (h *health) success(d time.Duration) {
	h.inRow = 0
	h.share -= smoothing * h.share
	h.backoff = 0
	if h.latency == 0 {
		h.latency = d
		return
	}
	h.latency += time.Duration(smoothing * float64(d-h.latency))
}

func (h *health) failure(now time.Time) {
	h.inRow++
	h.share += smoothing * (1 - h.share)
	if h.inRow >= failuresInRow || h.share > failureShare {
		h.setAside(now)
	}
}

// broke sets the runner aside at once.
func (h *health) broke(now time.Time) {
	h.inRow++
	h.share += smoothing * (1 - h.share)
	h.setAside(now)
}

func (h *health) setAside(now time.Time) {
	h.backoff = min(max(2*h.backoff, firstBackoff), lastBackoff)
	h.backoffUntil = now.Add(h.backoff)
}

func (h *health) typical() time.Duration {
	if h.latency == 0 {
		return startLatency
	}
	return h.latency
}
