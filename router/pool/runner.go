package pool

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/bundle"
)

// instant is a time on the pools' monotonic clock; it is positive.
type instant int64

func (t instant) sub(u instant) time.Duration { return time.Duration(t - u) }

// runner is the state that this instance keeps for one runner. It is kept
// across topology updates.
type runner struct {
	id   string
	hash uint64
	// desc is the runner's entry in the current bundle.
	desc atomic.Pointer[bundle.Runner]
	// disabled is set if the runner may receive no new work. It is set before a
	// topology that removes, drains or takes out the runner is published.
	disabled atomic.Bool
	// groups are the groups that the runner serves.
	groups atomic.Pointer[[]*group]

	// inFlight counts this instance's attempts in flight. tryReserve never
	// raises it above limit, and never above freeLimit for free work.
	inFlight  atomic.Int64
	limit     atomic.Int64
	freeLimit atomic.Int64
	// cold is set by the first sign of a cold start and cleared by the first
	// evidence that the runner is warm.
	cold atomic.Bool
	// grantAt is the instant at which a granted share takes effect, or 0.
	grantAt atomic.Int64

	latency estimate
	// othersInFlight is the load in the last report minus this instance's work.
	othersInFlight atomic.Int64
	reportedLoad   atomic.Int64
	reportedAt     atomic.Int64

	mu sync.Mutex
	// freeTierSlots lists the free-tier slots in use, newest first.
	freeTierSlots *slot
	// preempting counts the free-tier slots that were preempted and are still
	// in use.
	preempting int
	adaptive   adaptiveLimit
	coldState  coldState
	coldShare  coldShare
	// extraHeadroom is added to the configured headroom. It grows with each
	// preempted free-tier slot and shrinks with each one that ends without
	// preemption.
	extraHeadroom float64
	// roundingOffset spreads the rounding of small headrooms over the runners.
	roundingOffset float64
}

// tryReserve increments inFlight if the limit of the class allows it.
func (r *runner) tryReserve(paying bool) bool {
	for {
		n := r.inFlight.Load()
		if n >= r.limitOf(paying) || r.disabled.Load() {
			return false
		}
		if r.inFlight.CompareAndSwap(n, n+1) {
			break
		}
	}
	// The limit or the topology may have changed since the comparison; the
	// change takes precedence.
	if r.inFlight.Load() > r.limit.Load() || r.disabled.Load() {
		r.inFlight.Add(-1)
		return false
	}
	return true
}

func (r *runner) limitOf(paying bool) int64 {
	if paying {
		return r.limit.Load()
	}
	return r.freeLimit.Load()
}

// hasPayingWaiters reports whether paying work waits for a slot on the runner.
func (r *runner) hasPayingWaiters() bool {
	for _, g := range *r.groups.Load() {
		if g.waiting[payingClass].Load() > 0 {
			return true
		}
	}
	return false
}

// updateLimits recomputes the limits from the runner's state; r.mu is held.
func (r *runner) updateLimits(cfg settings, now instant) {
	if !cfg.admission {
		r.limit.Store(unlimited)
		r.freeLimit.Store(unlimited)
		return
	}
	var limit int
	if r.cold.Load() {
		limit = r.coldShare.at(now)
		if r.coldShare.pending(now) {
			r.grantAt.Store(int64(r.coldShare.grantAt))
		} else {
			r.grantAt.Store(0)
		}
	} else {
		limit = int(r.adaptive.target)
		r.grantAt.Store(0)
	}
	freeLimit := math.Floor(float64(limit)*(1-cfg.headroom-r.extraHeadroom) + r.roundingOffset)
	r.freeLimit.Store(min(int64(freeLimit), int64(limit)))
	r.limit.Store(int64(limit))
	if r.cold.Load() {
		r.preemptExcess()
	}
}

// The steps of a runner's extra headroom. In equilibrium, one in fifty free
// slots is preempted.
const (
	extraHeadroomStep  = 0.1
	extraHeadroomDecay = 0.002
	maxExtraHeadroom   = 0.6
)

// preemptExcess preempts the newest free work until the remaining work fits the
// limit; r.mu is held.
func (r *runner) preemptExcess() {
	for pl := r.freeTierSlots; pl != nil; pl = pl.older {
		if r.inFlight.Load()-int64(r.preempting) <= r.limit.Load() {
			return
		}
		r.preempt(pl)
	}
}

// preempt signals the holder of pl to stop and reports whether pl was not
// preempted before; r.mu is held.
func (r *runner) preempt(pl *slot) bool {
	if pl.preempted {
		return false
	}
	pl.preempted = true
	r.preempting++
	r.extraHeadroom = min(r.extraHeadroom+extraHeadroomStep, maxExtraHeadroom)
	if pl.preemptedCh != nil {
		close(pl.preemptedCh)
	}
	return true
}

// preemptNewest preempts the newest free-tier slot for w, which waits, and
// reports whether there was one. The caller must not hold r.mu.
func (r *runner) preemptNewest(w *waiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.preemptExcess()
	if r.inFlight.Load()-int64(r.preempting) > r.limit.Load() || r.limit.Load() == 0 {
		return false
	}
	for pl := r.freeTierSlots; pl != nil; pl = pl.older {
		if r.preempt(pl) {
			w.pendingPreemptions.Add(1)
			pl.preemptor = w
			return true
		}
	}
	return false
}

// cost estimates how long new work would take on the runner; groupMean is the
// mean latency of its group.
func (r *runner) cost(now instant, groupMean float64) float64 {
	load := float64(r.inFlight.Load()) + r.estimateOthers(now) + 1
	return load * r.latency.decayedMean(now, groupMean) / float64(max(1, r.desc.Load().Slots))
}

// estimateOthers returns the other instances' work in flight by the last
// report, decreasing linearly to zero with the age of the report.
func (r *runner) estimateOthers(now instant) float64 {
	others := r.othersInFlight.Load()
	if others <= 0 {
		return 0
	}
	age := now.sub(instant(r.reportedAt.Load()))
	if age >= reportTTL {
		return 0
	}
	return float64(others) * (1 - float64(age)/float64(reportTTL))
}

// reportTTL is how long a load report is used.
const reportTTL = 2 * time.Second

// estimate is a moving mean of the latency of a runner or group, in
// nanoseconds.
type estimate struct {
	mean         atomic.Uint64
	dev          atomic.Uint64
	lastSampleAt atomic.Int64
}

const (
	// estimateGain is the weight of one sample in a moving mean.
	estimateGain = 0.125
	// estimateTTL is how long a runner's own latency is used; a runner that was
	// slow is tried again after it.
	estimateTTL = 5 * time.Second
)

// add records a sample. Concurrent samples may be lost.
func (e *estimate) add(now instant, d time.Duration) {
	sample := float64(d)
	if e.lastSampleAt.Load() == 0 {
		e.mean.Store(math.Float64bits(sample))
		e.dev.Store(math.Float64bits(sample / 2))
	} else {
		mean := math.Float64frombits(e.mean.Load())
		dev := math.Float64frombits(e.dev.Load())
		e.dev.Store(math.Float64bits(dev + estimateGain*(math.Abs(sample-mean)-dev)))
		e.mean.Store(math.Float64bits(mean + estimateGain*(sample-mean)))
	}
	e.lastSampleAt.Store(max(1, int64(now)))
}

// addLowerBound records that a latency is at least d, which is above the mean:
// the runner became slower, and the mean moves halfway to d.
func (e *estimate) addLowerBound(now instant, d time.Duration) {
	if e.lastSampleAt.Load() == 0 {
		e.add(now, d)
		return
	}
	e.mean.Store(math.Float64bits((e.meanLatency() + float64(d)) / 2))
	e.lastSampleAt.Store(int64(now))
}

// decayedMean returns the mean, moved linearly towards groupMean, the mean of
// the whole group, with the age of the last sample.
func (e *estimate) decayedMean(now instant, groupMean float64) float64 {
	seen := e.lastSampleAt.Load()
	if seen == 0 {
		return max(groupMean, 1)
	}
	mean := math.Float64frombits(e.mean.Load())
	age := float64(now.sub(instant(seen))) / float64(estimateTTL)
	if age >= 1 {
		return max(groupMean, 1)
	}
	return max(mean+(groupMean-mean)*max(age, 0), 1)
}

// likelyMax returns a duration that most samples do not exceed. It decreases to
// zero with the age of the last sample, so that refusals based on it end.
func (e *estimate) likelyMax(now instant) time.Duration {
	seen := e.lastSampleAt.Load()
	if seen == 0 {
		return 0
	}
	age := float64(now.sub(instant(seen))) / float64(estimateTTL)
	if age >= 1 {
		return 0
	}
	sum := e.meanLatency() + e.meanDeviation()
	return time.Duration(sum * min(1, 1-age))
}

func (e *estimate) meanDeviation() float64 { return math.Float64frombits(e.dev.Load()) }

func (e *estimate) meanLatency() float64 { return math.Float64frombits(e.mean.Load()) }
