package target

import (
	"math"
	"time"
)

// Load is the load of a runner as it reported it in an answer.
type Load struct {
	// Running and Waiting count the calls or batches of all instances at the runner.
	Running, Waiting int
	// Slots is how many it runs at the same time; zero if it reported no load.
	Slots int
	// Slowdown is how many times as long as usual work takes there now; zero if it
	// didn't report that.
	Slowdown float64
}

const (
	// loadHalfLife is the age at which a reported load counts for half. Loads change
	// within about the time of a call or batch, and slowdowns last parts of a second.
	loadHalfLife = 250 * time.Millisecond
	// minSlowdown and maxSlowdown bound a reported slowdown. A runner that reports more
	// is passed over as long as there are others, and gets its calls again.
	minSlowdown = 0.25
	maxSlowdown = 8
)

// reported is the last load that a runner reported. The zero value stands for none.
type reported struct {
	at time.Time
	// others is the work of other instances at the runner.
	others float64
	// slowdown is 1 or the reported slowdown.
	slowdown float64
}

// newReported returns a report of a runner at which this instance has own calls.
func newReported(l Load, own int, now time.Time) reported {
	r := reported{at: now, others: float64(max(0, l.Running+l.Waiting-own)), slowdown: 1}
	if l.Slowdown > 0 {
		r.slowdown = min(max(minSlowdown, l.Slowdown), maxSlowdown)
	}
	return r
}

// weight returns how much the report counts: 1 when it is new, and less with its age.
func (r reported) weight(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return math.Exp2(-max(0, now.Sub(r.at).Seconds()) / loadHalfLife.Seconds())
}

// slowdownAt returns the slowdown to be expected. It is 1 without a report.
func (r reported) slowdownAt(now time.Time) float64 {
	if r.at.IsZero() || r.slowdown == 1 {
		return 1
	}
	return 1 + (r.slowdown-1)*r.weight(now)
}

// Slowdown returns how many times as long as usual work at the runner is expected to
// take, by its last report. It is 1 without one.
func (t *Target) Slowdown(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reported.slowdownAt(now)
}

func (t *Target) observeLoad(l Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reported = newReported(l, t.running, now)
}

// expectedTime estimates how long one more call would take.
func (t *Target) expectedTime(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := time.Duration(1+t.running) * t.health.expectedLatency()
	weight := t.reported.weight(now)
	if weight == 0 {
		return own
	}
	others := t.reported.others * weight * float64(t.health.expectedLatency())
	return time.Duration((float64(own) + others) * t.reported.slowdownAt(now))
}
