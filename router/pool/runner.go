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

// runner is what this instance holds of one runner. It outlives topologies.
type runner struct {
	id   string
	hash uint64
	// desc is the runner's row in the bundle in force.
	desc atomic.Pointer[bundle.Runner]
	// out is set before a topology without the runner is published.
	out atomic.Bool
	// groups are those whose work the runner takes.
	groups atomic.Pointer[[]*group]

	// total is the work in flight from this instance. It never grows past
	// limit, nor past freeLimit by free work.
	total     atomic.Int64
	limit     atomic.Int64
	freeLimit atomic.Int64
	// cold is true from the first sign of a cold start to the first proof
	// of the contrary.
	cold atomic.Bool
	// gainAt is the instant at which a granted share comes into use, or 0.
	gainAt atomic.Int64

	latency estimate
	// others is what the last report shows beyond this instance's own work.
	others       atomic.Int64
	reportedLoad atomic.Int64
	reportedAt   atomic.Int64

	mu sync.Mutex
	// free are the free places in use, the newest first.
	free *place
	// displacing counts the members of free that were told to leave.
	displacing int
	adaptive   adaptive
	warmth     warmth
	permits    permits
	// extra is headroom beyond the settings, which grows with each free place
	// displaced and shrinks with each that ends by itself.
	extra float64
	// offset spreads the rounding of small headrooms over the runners.
	offset float64
}

// take adds one to the work in flight if the limit of the class allows it.
func (r *runner) take(paying bool) bool {
	for {
		n := r.total.Load()
		if n >= r.limitOf(paying) || r.out.Load() {
			return false
		}
		if r.total.CompareAndSwap(n, n+1) {
			break
		}
	}
	// A limit cut or a topology put in force since the comparison wins.
	if r.total.Load() > r.limit.Load() || r.out.Load() {
		r.total.Add(-1)
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

// payingWaits reports whether paying work waits for a place on the runner.
func (r *runner) payingWaits() bool {
	for _, g := range *r.groups.Load() {
		if g.waiting[paying].Load() > 0 {
			return true
		}
	}
	return false
}

// setLimits puts the limits in force that follow from the state; r.mu is held.
func (r *runner) setLimits(cfg settings, now instant) {
	if !cfg.admission {
		r.limit.Store(unlimited)
		r.freeLimit.Store(unlimited)
		return
	}
	var limit int
	if r.cold.Load() {
		limit = r.permits.at(now)
		if r.permits.pending(now) {
			r.gainAt.Store(int64(r.permits.grantAt))
		} else {
			r.gainAt.Store(0)
		}
	} else {
		limit = int(r.adaptive.target)
		r.gainAt.Store(0)
	}
	free := math.Floor(float64(limit)*(1-cfg.headroom-r.extra) + r.offset)
	r.freeLimit.Store(min(int64(free), int64(limit)))
	r.limit.Store(int64(limit))
	if r.cold.Load() {
		r.shed()
	}
}

// The steps of a runner's extra headroom: at rest one in fifty free places
// is displaced.
const (
	extraStep  = 0.1
	extraDecay = 0.002
	maxExtra   = 0.6
)

// shed tells the newest free work to leave until the rest fits the limit;
// r.mu is held.
func (r *runner) shed() {
	for pl := r.free; pl != nil; pl = pl.older {
		if r.total.Load()-int64(r.displacing) <= r.limit.Load() {
			return
		}
		r.displace(pl)
	}
}

// displace tells pl to leave, if nobody did so before; r.mu is held.
func (r *runner) displace(pl *place) bool {
	if pl.displaced {
		return false
	}
	pl.displaced = true
	r.displacing++
	r.extra = min(r.extra+extraStep, maxExtra)
	if pl.displacedCh != nil {
		close(pl.displacedCh)
	}
	return true
}

// displaceNewest tells the newest free work to leave for w, which waits, and
// reports whether there was any; r.mu is not held.
func (r *runner) displaceNewest(w *waiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shed()
	if r.total.Load()-int64(r.displacing) > r.limit.Load() || r.limit.Load() == 0 {
		return false
	}
	for pl := r.free; pl != nil; pl = pl.older {
		if r.displace(pl) {
			w.victims.Add(1)
			pl.beneficiary = w
			return true
		}
	}
	return false
}

// cost estimates how long new work would take on the runner.
func (r *runner) cost(now instant, typical float64) float64 {
	load := float64(r.total.Load()) + r.othersAt(now) + 1
	return load * r.latency.at(now, typical) / float64(max(1, r.desc.Load().Slots))
}

// othersAt returns the other instances' work by the last report, which counts
// less the older it is.
func (r *runner) othersAt(now instant) float64 {
	others := r.others.Load()
	if others <= 0 {
		return 0
	}
	age := now.sub(instant(r.reportedAt.Load()))
	if age >= reportLife {
		return 0
	}
	return float64(others) * (1 - float64(age)/float64(reportLife))
}

// reportLife is how long a load report counts.
const reportLife = 2 * time.Second

// estimate is a moving mean of a runner's or a group's latency.
type estimate struct {
	mean atomic.Uint64
	dev  atomic.Uint64
	seen atomic.Int64
}

const (
	// estimateGain is the weight of one sample.
	estimateGain = 0.125
	// estimateLife is how long a runner's own latency counts; a runner that
	// was slow is tried again after it.
	estimateLife = 5 * time.Second
)

// add records a sample. Samples that race may be lost.
func (e *estimate) add(now instant, d time.Duration) {
	sample := float64(d)
	if e.seen.Load() == 0 {
		e.mean.Store(math.Float64bits(sample))
		e.dev.Store(math.Float64bits(sample / 2))
	} else {
		mean := math.Float64frombits(e.mean.Load())
		dev := math.Float64frombits(e.dev.Load())
		e.dev.Store(math.Float64bits(dev + estimateGain*(math.Abs(sample-mean)-dev)))
		e.mean.Store(math.Float64bits(mean + estimateGain*(sample-mean)))
	}
	e.seen.Store(max(1, int64(now)))
}

// rise records a sample that is a lower bound of a latency over the mean: the
// runner has become slower, and the mean follows it by half.
func (e *estimate) rise(now instant, d time.Duration) {
	if e.seen.Load() == 0 {
		e.add(now, d)
		return
	}
	e.mean.Store(math.Float64bits((e.value() + float64(d)) / 2))
	e.seen.Store(int64(now))
}

// at returns the mean, drawn towards typical the older it is.
func (e *estimate) at(now instant, typical float64) float64 {
	seen := e.seen.Load()
	if seen == 0 {
		return max(typical, 1)
	}
	mean := math.Float64frombits(e.mean.Load())
	age := float64(now.sub(instant(seen))) / float64(estimateLife)
	if age >= 1 {
		return max(typical, 1)
	}
	return max(mean+(typical-mean)*max(age, 0), 1)
}

// likely returns a duration that most samples stay under. It falls to zero
// with the age of the last sample, so that refusals based on it end.
func (e *estimate) likely(now instant) time.Duration {
	seen := e.seen.Load()
	if seen == 0 {
		return 0
	}
	age := float64(now.sub(instant(seen))) / float64(estimateLife)
	if age >= 1 {
		return 0
	}
	sum := e.value() + e.deviation()
	return time.Duration(sum * min(1, 1-age))
}

func (e *estimate) deviation() float64 { return math.Float64frombits(e.dev.Load()) }

func (e *estimate) value() float64 { return math.Float64frombits(e.mean.Load()) }
