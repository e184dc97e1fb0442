package pool

import (
	"time"

	"cicadawell.dev/fleet/runnerapi"
)

const (
	// coldStep is how far a latency exceeds its mean when a runner without
	// a fresh report is taken for cold.
	coldStep = 4
	// coldDeviations is how many mean deviations it exceeds it besides, so
	// that the long tail of a runner's latencies is no sign.
	coldDeviations = 16
	// coldLeast is the least excess over the mean that counts: pauses of this
	// process and of the network are shorter.
	coldLeast = 100 * time.Millisecond
	// stepSamples is how many results the mean needs before a step counts.
	stepSamples = 16
	// warmSuccesses is how many results a runner that reports no load must
	// give before its cold start counts as over.
	warmSuccesses = 4
)

// never is the instant of a sign that nobody saw.
const never = instant(0)

// warmth is what is known of a runner's cold start.
type warmth struct {
	// since is when the last sign of a cold start was made.
	since instant
	// successes are counted from the last sign.
	successes int
	// samples are results since the pools were made.
	samples int
	// confirmed is when the state was last known at first hand, or 0.
	confirmed instant
}

// cool records a sign of a cold start that was made at the given instant.
func (r *runner) cool(at instant) {
	r.warmth.since = max(r.warmth.since, at)
	r.warmth.successes = 0
	r.cold.Store(true)
}

// warm ends the cold start, if the proof is newer than its last sign.
func (r *runner) warm(at instant) {
	if !r.cold.Load() || at <= r.warmth.since {
		return
	}
	r.cold.Store(false)
	r.adaptive.restart(r.permits.share)
}

// ageUnit is the unit in which ages are told; they are rounded down to it.
const ageUnit = time.Millisecond

// madeAt returns the earliest instant at which something was made whose age is
// told as millis; the latest is one ageUnit after it.
func madeAt(now instant, millis int64) instant {
	return now - instant(time.Duration(millis+1)*ageUnit)
}

// reported takes in a load report made at the given instant or up to one
// ageUnit after it: a proof counts from the earliest, a sign from the latest.
func (r *runner) reported(load runnerapi.Load, at instant) {
	if at > r.adaptive.reported {
		r.adaptive.report, r.adaptive.reported = load, at
		r.others.Store(int64(load.Running+load.Queued) - r.total.Load())
		r.reportedLoad.Store(int64(load.Running + load.Queued))
		r.reportedAt.Store(int64(at))
	}
	r.warmth.confirmed = max(r.warmth.confirmed, at)
	r.cleared(load, at)
	if load.Cold {
		r.cool(at + instant(ageUnit))
		return
	}
	r.warm(at)
}

// ended takes in the end of an attempt; r.mu is held.
func (r *runner) ended(res Result, now instant) {
	fresh := false
	if res.Load != nil {
		at := madeAt(now, res.Load.AgeMillis)
		r.reported(*res.Load, at)
		fresh = now.sub(at) < res.Latency
	}
	switch res.Ending {
	case Completed:
		r.completed(res.Latency, now, fresh)
	case Failed:
		r.cool(now)
		r.warmth.confirmed = now
	case TimedOut:
		if r.steps(res.Latency) && !fresh {
			r.cool(now)
		}
		r.adaptive.lower(now)
		r.tookLonger(res.Latency, now)
	case Refused:
		r.adaptive.lower(now)
	case Cancelled:
		r.tookLonger(res.Latency, now)
	case Unsent:
	}
}

// tookLonger takes in how long an attempt ran that did not end by itself, if
// that is more than its runner usually takes.
func (r *runner) tookLonger(latency time.Duration, now instant) {
	if float64(latency) > r.latency.value() {
		r.latency.rise(now, latency)
	}
}

func (r *runner) completed(latency time.Duration, now instant, fresh bool) {
	if !fresh && r.steps(latency) {
		r.cool(now)
	}
	r.warmth.samples++
	r.warmth.successes++
	r.latency.add(now, latency)
	if r.cold.Load() && r.provenWarm(now) {
		r.warm(now)
		r.warmth.confirmed = now
	}
	if !r.cold.Load() {
		r.adaptive.success(now, r.total.Load(), latency)
	}
}

// steps reports whether the latency is far over what the runner needs.
func (r *runner) steps(latency time.Duration) bool {
	mean, dev := r.latency.value(), r.latency.deviation()
	return r.warmth.samples >= stepSamples &&
		float64(latency) > max(coldStep*mean, mean+coldDeviations*dev, mean+float64(coldLeast))
}

// provenWarm reports whether a runner that reports no load has worked through
// its warm-up.
func (r *runner) provenWarm(now instant) bool {
	desc := r.desc.Load()
	return !desc.ReportsLoad &&
		r.warmth.successes >= warmSuccesses &&
		now.sub(r.warmth.since) >= desc.Warmup()
}

// permits are this instance's part of the places of a cold runner.
type permits struct {
	// share is in use; it grows to granted at grantAt.
	share   int
	granted int
	// grantAt is when the former owners' work has ended, or 0.
	grantAt instant
	// settled is when the view took effect that gave granted.
	settled instant
}

// at returns the share in use.
func (p *permits) at(now instant) int {
	if p.grantAt != 0 && now >= p.grantAt {
		p.share, p.grantAt = p.granted, 0
	}
	return p.share
}

func (p *permits) pending(now instant) bool { return p.grantAt > now }

// assign sets a new share: a smaller one at once, a larger one after drain.
func (p *permits) assign(share int, now instant, drain time.Duration) {
	p.at(now)
	if share == p.granted && p.granted >= p.share {
		return
	}
	p.granted, p.settled, p.grantAt = share, now, 0
	p.share = min(p.share, share)
	if share > p.share {
		p.grantAt = now + instant(drain)
	}
}

// cleared lets a granted share come into use when a report made since shows no
// work on the runner: nothing of the former owners is left.
func (r *runner) cleared(load runnerapi.Load, at instant) {
	p := &r.permits
	if p.grantAt != 0 && at > p.settled && load.Running+load.Queued == 0 {
		p.share, p.grantAt = p.granted, 0
	}
}
