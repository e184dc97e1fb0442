package pool

import (
	"time"

	"cicadawell.dev/fleet/runnerapi"
)

const (
	// coldLatencyFactor is the ratio of a latency to its mean above which a
	// runner counts as cold, unless its result came with a load report that was
	// made after the attempt started.
	coldLatencyFactor = 4
	// coldLatencyDeviations is the number of mean deviations by which the
	// latency must also exceed the mean, so that a long tail is not taken for a
	// cold start.
	coldLatencyDeviations = 16
	// coldMinExcess is the smallest excess over the mean that counts; pauses of
	// this process and of the network are shorter.
	coldMinExcess = 100 * time.Millisecond
	// coldMinSamples is the number of results needed before a latency can be
	// judged against the mean.
	coldMinSamples = 16
	// warmMinSuccesses is the number of completed attempts after which the cold
	// start of a runner that reports no load may end.
	warmMinSuccesses = 4
)

// beforeAnyReport is the lastSignAt of a runner that has shown no sign of a cold
// start. Every load report is newer than it.
const beforeAnyReport = instant(0)

// coldState tracks a runner's cold start.
type coldState struct {
	// lastSignAt is the time of the newest sign of a cold start.
	lastSignAt instant
	// successes counts the completed attempts since a sign of a cold start was
	// last recorded, even one from before lastSignAt.
	successes int
	// samples counts all completed attempts.
	samples int
	// confirmedAt is when this instance last observed the state itself, by a
	// load report, a failed attempt or a completed warm-up, or 0 if it never
	// did. A cold start that is inferred from a latency or learned from a digest
	// leaves it unchanged.
	confirmedAt instant
}

// markCold records a sign of a cold start from the given time. r.mu is held.
func (r *runner) markCold(at instant) {
	r.coldState.lastSignAt = max(r.coldState.lastSignAt, at)
	r.coldState.successes = 0
	r.cold.Store(true)
}

// markWarm ends the cold start if the evidence from the given time is newer
// than the last sign of a cold start. r.mu is held.
func (r *runner) markWarm(at instant) {
	if !r.cold.Load() || at <= r.coldState.lastSignAt {
		return
	}
	r.cold.Store(false)
	r.adaptive.startRamp(r.coldShare.share)
}

// ageResolution is the unit of transmitted ages, which are rounded down to it.
const ageResolution = time.Millisecond

// earliestTime returns the earliest time at which something with the
// transmitted age millis can have been made. The latest is one ageResolution
// after it.
func earliestTime(now instant, millis int64) instant {
	return now - instant(time.Duration(millis+1)*ageResolution)
}

// applyReport records a load report that was made between at and at plus one
// ageResolution. A report of a warm runner counts from the earliest of these
// times and one of a cold runner from the latest, so that a doubtful case
// counts as cold.
func (r *runner) applyReport(load runnerapi.Load, at instant) {
	if at > r.adaptive.reportAt {
		r.adaptive.report, r.adaptive.reportAt = load, at
		r.othersInFlight.Store(int64(load.Running+load.Queued) - r.inFlight.Load())
		r.reportedLoad.Store(int64(load.Running + load.Queued))
		r.reportedAt.Store(int64(at))
	}
	r.coldState.confirmedAt = max(r.coldState.confirmedAt, at)
	r.activateGrantIfIdle(load, at)
	if load.Cold {
		r.markCold(at + instant(ageResolution))
		return
	}
	r.markWarm(at)
}

// recordResult updates the runner's state after an attempt; r.mu is held.
func (r *runner) recordResult(res Result, now instant) {
	reportedSinceStart := false
	if res.Load != nil {
		at := earliestTime(now, res.Load.AgeMillis)
		r.applyReport(*res.Load, at)
		reportedSinceStart = now.sub(at) < res.Latency
	}
	switch res.Ending {
	case Completed:
		r.recordCompleted(res.Latency, now, reportedSinceStart)
	case Failed:
		r.markCold(now)
		r.coldState.confirmedAt = now
	case TimedOut:
		if r.isLatencyJump(res.Latency) && !reportedSinceStart {
			r.markCold(now)
		}
		r.adaptive.decrease(now)
		r.raiseLatency(res.Latency, now)
	case Refused:
		r.adaptive.decrease(now)
	case Cancelled:
		r.raiseLatency(res.Latency, now)
	case Unsent:
	}
}

// raiseLatency raises the mean latency after an attempt that was stopped before
// it had a result, if the attempt already ran for longer than the mean.
func (r *runner) raiseLatency(latency time.Duration, now instant) {
	if float64(latency) > r.latency.meanLatency() {
		r.latency.addLowerBound(now, latency)
	}
}

func (r *runner) recordCompleted(latency time.Duration, now instant, reportedSinceStart bool) {
	if !reportedSinceStart && r.isLatencyJump(latency) {
		r.markCold(now)
	}
	r.coldState.samples++
	r.coldState.successes++
	r.latency.add(now, latency)
	if r.cold.Load() && r.isWarmedUp(now) {
		r.markWarm(now)
		r.coldState.confirmedAt = now
	}
	if !r.cold.Load() {
		r.adaptive.onSuccess(now, r.inFlight.Load(), latency)
	}
}

// isLatencyJump reports whether the latency is so far above the mean that it
// indicates a cold start.
func (r *runner) isLatencyJump(latency time.Duration) bool {
	mean, dev := r.latency.meanLatency(), r.latency.meanDeviation()
	return r.coldState.samples >= coldMinSamples &&
		float64(latency) > max(coldLatencyFactor*mean, mean+coldLatencyDeviations*dev, mean+float64(coldMinExcess))
}

// isWarmedUp reports whether a runner that reports no load has completed its
// warm-up.
func (r *runner) isWarmedUp(now instant) bool {
	desc := r.desc.Load()
	return !desc.ReportsLoad &&
		r.coldState.successes >= warmMinSuccesses &&
		now.sub(r.coldState.lastSignAt) >= desc.Warmup()
}

// coldShare is this instance's share of a runner's cold slots.
type coldShare struct {
	// share is the number of slots in use; it becomes granted at grantAt.
	share   int
	granted int
	// grantAt is when the former owners' attempts have ended and granted comes
	// into effect, or 0 if no grant is pending.
	grantAt instant
	// assignedAt is when granted was assigned.
	assignedAt instant
}

// at returns the share in effect at the given time.
func (p *coldShare) at(now instant) int {
	if p.grantAt != 0 && now >= p.grantAt {
		p.share, p.grantAt = p.granted, 0
	}
	return p.share
}

func (p *coldShare) pending(now instant) bool { return p.grantAt > now }

// assign sets a new share. A smaller share takes effect at once, a larger one
// after the drain time, when the attempts of the former owners have ended.
func (p *coldShare) assign(share int, now instant, drain time.Duration) {
	p.at(now)
	if share == p.granted && p.granted >= p.share {
		return
	}
	p.granted, p.assignedAt, p.grantAt = share, now, 0
	p.share = min(p.share, share)
	if share > p.share {
		p.grantAt = now + instant(drain)
	}
}

// activateGrantIfIdle brings a pending grant into effect early if a report that
// was made after the assignment shows no work on the runner: the former owners
// have no attempts left there.
func (r *runner) activateGrantIfIdle(load runnerapi.Load, at instant) {
	p := &r.coldShare
	if p.grantAt != 0 && at > p.assignedAt && load.Running+load.Queued == 0 {
		p.share, p.grantAt = p.granted, 0
	}
}
