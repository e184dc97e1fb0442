package pool

import (
	"time"

	"cicadawell.dev/fleet/runnerapi"
)

const (
	// decrease is what a limit is multiplied by on a sign of overload.
	decrease = 0.8
	// decreaseEvery is the least time between two decreases.
	decreaseEvery = 200 * time.Millisecond
	// congestion is how far the latency may exceed its best before a runner
	// that reports no load counts as overloaded.
	congestion = 2.5
	// congestionLeast is the least excess over the best latency that counts.
	congestionLeast = 10 * time.Millisecond
	// drift is how much the best latency rises with each sample, so that
	// it follows a runner that became slower for good.
	drift = 1.002
	// growBelow is the reported part of the slots up to which limits grow.
	growBelow = 0.9
)

// adaptive is the limit of a warm runner: additive increase while it is used
// up and the runner shows no overload, multiplicative decrease otherwise.
type adaptive struct {
	// target lies between floor and slots.
	target float64
	// floor is this instance's even share of the slots, at least 1.
	floor float64
	slots float64
	// best is the latency of the runner without queueing, in nanoseconds.
	best      float64
	decreased instant
	report    runnerapi.Load
	// reported is when report was made, or 0.
	reported instant
}

// bounds sets the range of the limit.
func (a *adaptive) bounds(share, slots int) {
	a.floor = float64(max(1, share))
	a.slots = float64(max(1, slots))
	a.target = min(max(a.target, 1), max(a.slots, a.floor))
}

// restart begins a ramp: each success adds one up to the even share.
func (a *adaptive) restart(from int) {
	a.target = min(max(1, float64(from)), a.floor)
}

// success raises the limit when inFlight used it up.
func (a *adaptive) success(now instant, inFlight int64, latency time.Duration) {
	sample := float64(latency)
	if a.best == 0 || sample < a.best {
		a.best = sample
	} else {
		a.best *= drift
	}
	if a.overloaded(now, sample) {
		a.lower(now)
		return
	}
	if a.target < a.floor {
		a.target = min(a.target+1, a.floor)
		return
	}
	if float64(inFlight) >= a.target-1 && a.mayGrow(now) {
		a.target = min(a.target+1/a.target, a.slots)
	}
}

func (a *adaptive) overloaded(now instant, sample float64) bool {
	if a.fresh(now) {
		return a.report.Queued > 0 || float64(a.report.Running) > a.slots
	}
	return sample > max(congestion*a.best, a.best+float64(congestionLeast))
}

func (a *adaptive) mayGrow(now instant) bool {
	if !a.fresh(now) {
		return true
	}
	return float64(a.report.Running+a.report.Queued) < growBelow*a.slots
}

func (a *adaptive) fresh(now instant) bool {
	return a.reported != 0 && now.sub(a.reported) < reportLife
}

// lower cuts the limit, at most once in decreaseEvery.
func (a *adaptive) lower(now instant) {
	if a.decreased != 0 && now.sub(a.decreased) < decreaseEvery {
		return
	}
	a.decreased = now
	a.target = max(a.target*decrease, min(a.floor, a.target))
}
