package detour

import "time"

const (
	// sampleSize is how many runners are dialed to find out whether this instance is cut off.
	sampleSize = 4
	// confirmationSize is how many further ones are dialed if others reached fewer.
	confirmationSize = 8
	// enoughReached is how many of them others must reach, so that a single connection
	// doesn't decide. One is enough if none of the further ones is reached directly.
	enoughReached = 2
	// returnSampleSize is how many runners are dialed at a time while the instance is cut
	// off, and enoughReturns how often in a row one of them has to be reached until it
	// counts as no longer cut off.
	returnSampleSize = 6
	enoughReturns    = 3
	// firstSettleTime is for how long runners have to be reached directly after a first cut.
	// Each further cut within relapseTime doubles it, up to lastSettleTime.
	firstSettleTime = 600 * time.Millisecond
	lastSettleTime  = 5 * time.Second
	relapseTime     = 10 * time.Second
)

// outcome is what others said about one runner that this instance didn't reach.
type outcome struct {
	// through is set if another instance reached it.
	through bool
	// allCutOff is set if all instances that were asked are cut off themselves.
	allCutOff bool
}

// verdict is what a check shows.
type verdict int

const (
	// sound means that nothing shows that the instance is cut off.
	sound verdict = iota
	// cutOff means that others reach runners that this instance doesn't, or that all that
	// were asked are cut off as well.
	cutOff
	// nobodyReaches means that neither this instance nor those that were asked reached a
	// runner of the sample.
	nobodyReaches
)

// judge decides whether this instance is cut off from the runners. It is given what was
// tried, and makes no connections.
type judge struct {
	cutOff bool
	// since is when the present state began.
	since time.Time
	// settleTime is for how long runners have to be reached directly until the state ends.
	settleTime time.Duration
	// returns counts the probes in a row that reached a runner, the first at firstReturn.
	returns     int
	firstReturn time.Time
}

// checked takes the outcomes of a check. more reports whether one of further runners was
// reached directly; it is called only if that matters.
func (j *judge) checked(now time.Time, sample []outcome, more func() bool) verdict {
	through, allCutOff := 0, 0
	for _, o := range sample {
		switch {
		case o.through:
			through++
		case o.allCutOff:
			allCutOff++
		}
	}
	switch {
	case len(sample) == 0:
		return sound
	case through >= min(enoughReached, len(sample)):
	case more():
		return sound
	case through == 0 && allCutOff < len(sample):
		return nobodyReaches
	}
	if !j.since.IsZero() && now.Sub(j.since) < relapseTime {
		j.settleTime = min(2*j.settleTime, lastSettleTime)
	} else {
		j.settleTime = firstSettleTime
	}
	j.cutOff, j.since, j.returns = true, now, 0
	return cutOff
}

// probed takes whether a runner was reached directly while the instance is cut off, and
// reports whether it no longer is.
func (j *judge) probed(now time.Time, reached bool) bool {
	if !j.cutOff {
		return false
	}
	if !reached {
		j.returns = 0
		return false
	}
	if j.returns++; j.returns == 1 {
		j.firstReturn = now
	}
	if j.returns < enoughReturns || now.Sub(j.firstReturn) < j.settleTime {
		return false
	}
	j.cutOff, j.since = false, now
	return true
}
