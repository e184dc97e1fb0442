package pool

import (
	"time"

	"cicadawell.dev/fleet/runnerapi"
)

const (
	// decreaseFactor multiplies a limit on a sign of overload.
	decreaseFactor = 0.8
	// minDecreaseInterval is the minimum time between two decreases.
	minDecreaseInterval = 200 * time.Millisecond
	// congestionFactor is the ratio of a latency to the best latency above
	// which a runner without a fresh load report counts as overloaded.
	congestionFactor = 2.5
	// congestionMinExcess is the smallest excess over the best latency that
	// counts.
	congestionMinExcess = 10 * time.Millisecond
	// bestLatencyDrift multiplies the best latency with each sample that is not
	// better, so that it follows a runner that became slower permanently.
	bestLatencyDrift = 1.002
	// growBelowUtilization is the reported utilization of the slots below which
	// a limit may grow.
	growBelowUtilization = 0.9
)

// adaptiveLimit is the concurrency limit of a warm runner (AIMD). It increases
// additively while it is fully used and the runner is not overloaded, and
// decreases multiplicatively on overload.
type adaptiveLimit struct {
	// target is the current limit, between 1 and slots.
	target float64
	// floor is this instance's even share of the slots, at least 1. Decreases
	// stop there; below it the limit ramps up by one with each success.
	floor float64
	slots float64
	// bestLatency is the latency without queueing, in nanoseconds.
	bestLatency float64
	decreasedAt instant
	report      runnerapi.Load
	// reportAt is when report was made, or 0 if there is none.
	reportAt instant
}

// setRange sets the range of the limit.
func (a *adaptiveLimit) setRange(share, slots int) {
	a.floor = float64(max(1, share))
	a.slots = float64(max(1, slots))
	a.target = min(max(a.target, 1), max(a.slots, a.floor))
}

// startRamp sets the limit to from, at most the even share; each success then
// adds one until the even share is reached.
func (a *adaptiveLimit) startRamp(from int) {
	a.target = min(max(1, float64(from)), a.floor)
}

// onSuccess adjusts the limit after a completed attempt: it decreases it if the
// runner is overloaded, and raises it during the ramp or if inFlight used it
// up.
func (a *adaptiveLimit) onSuccess(now instant, inFlight int64, latency time.Duration) {
	sample := float64(latency)
	if a.bestLatency == 0 || sample < a.bestLatency {
		a.bestLatency = sample
	} else {
		a.bestLatency *= bestLatencyDrift
	}
	if a.overloaded(now, sample) {
		a.decrease(now)
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

func (a *adaptiveLimit) overloaded(now instant, sample float64) bool {
	if a.hasFreshReport(now) {
		return a.report.Queued > 0 || float64(a.report.Running) > a.slots
	}
	return sample > max(congestionFactor*a.bestLatency, a.bestLatency+float64(congestionMinExcess))
}

func (a *adaptiveLimit) mayGrow(now instant) bool {
	if !a.hasFreshReport(now) {
		return true
	}
	return float64(a.report.Running+a.report.Queued) < growBelowUtilization*a.slots
}

// hasFreshReport reports whether the last load report is less than reportTTL
// old.
func (a *adaptiveLimit) hasFreshReport(now instant) bool {
	return a.reportAt != 0 && now.sub(a.reportAt) < reportTTL
}

// decrease lowers the limit, at most once per minDecreaseInterval.
func (a *adaptiveLimit) decrease(now instant) {
	if a.decreasedAt != 0 && now.sub(a.decreasedAt) < minDecreaseInterval {
		return
	}
	a.decreasedAt = now
	a.target = max(a.target*decreaseFactor, min(a.floor, a.target))
}
