package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// reaction is the time from the first bad answers to the end of calls to a bad
	// version: two reports, a decision and its way to the instances.
	reaction = 600 * time.Millisecond
	// reportInterval is the time between the reports of an instance.
	reportInterval = 200 * time.Millisecond
	// minStep and maxStep bound the time at each share while the share is raised.
	minStep = 500 * time.Millisecond
	maxStep = 2 * time.Second

	// countLag is the time from the order until the instances' counts arrive.
	countLag = 300 * time.Millisecond
	// settleFraction, of the duration, is the time before the first calls go to the
	// candidate. How many the bounds allow depends on the traffic, which has to be known.
	settleFraction       = 0.05
	minSettle, maxSettle = 500 * time.Millisecond, time.Second

	// smallBudget is the part of the exposure budget that the phase at a small share uses.
	smallBudget = 1.0 / 3
	// wantedAnswers is the number of the candidate's answers that the phase at a small
	// share aims at where smallBudget has fewer. A version that fails 30 of 100 calls is
	// found with about 25.
	wantedAnswers = 40
	// rampAnswers is the number of the candidate's answers after the first step for which
	// the last one waits, if there is time.
	rampAnswers = 60
	// maxSmallShare leaves the baseline as many answers as the candidate.
	maxSmallShare = 0.5
	// shareTolerance is the factor by which the small share differs from the planned one
	// before it is changed, as the traffic varies. It isn't raised within minAdjust of the
	// last change.
	shareTolerance = 1.5
	minAdjust      = 2 * time.Second
	// minSmallFraction, of the duration, and minSmall are the least time at a small share
	// of a candidate whose runners come late.
	minSmallFraction = 0.1
	minSmall         = time.Second
	// minRunners is the least number of runners that calls are concentrated on.
	minRunners = 2

	// holdFraction, of the duration, minHold and maxHold give the time for which the ramp
	// can wait for more answers.
	holdFraction     = 1.0 / 12
	minHold, maxHold = 500 * time.Millisecond, 2 * time.Second

	// endFraction, of the duration, and minEnd are the time that is kept free before the
	// deadline.
	endFraction = 0.1
	minEnd      = time.Second
	// maxCallFraction, of the duration, bounds the time that is planned for calls in
	// flight at the old runners.
	maxCallFraction = 0.3
	// finalFraction, of the duration, and minFinal are the time before the deadline from
	// which calls in flight that may be retried are no longer waited for.
	finalFraction = 0.05
	minFinal      = 500 * time.Millisecond
)

// ramps are the ways to raise the share, the most cautious one first. Each step gives the
// candidate's answers at a larger share before the next one.
var ramps = [][]float64{{0.25, 0.5, 1}, {0.5, 1}, {1}}

// schedule is how the share is to grow, as planned from the traffic so far.
type schedule struct {
	// small is the share of the phase before the ramp.
	small float64
	// ramp has the shares of the steps, step the time at each, rampAt the time from the
	// order at which the first one is due.
	ramp   []float64
	step   time.Duration
	rampAt time.Duration
}

func fraction(d time.Duration, f float64) time.Duration { return time.Duration(f * float64(d)) }

// budget is the number of calls that a bad version may get by the deadline: the share of
// the expected calls, and half of the slack, as the rest of which serves for what is in
// flight.
func budget(in Input, b Bounds, perSecond float64) float64 {
	left := max(in.Order.Duration-in.Elapsed, 0).Seconds()
	expected := float64(in.Sent.Baseline+in.Sent.Candidate) + perSecond*left
	return b.ExposureShare*expected + float64(b.ExposureSlack)/2
}

// exhausted reports whether a bad version would get more calls than allowed if it was not
// rolled back before the next reports.
func exhausted(in Input, b Bounds) bool {
	perSecond := traffic(in)
	allowed := budget(in, b, perSecond) + float64(b.ExposureSlack)/2
	return float64(in.Sent.Candidate)+perSecond*in.State.Share*(reaction+reportInterval).Seconds() > allowed
}

// traffic returns the calls of the service per second since the rollout began.
func traffic(in Input) float64 {
	var before time.Duration
	if in.State != nil {
		before = in.State.Before
	}
	counted := before + in.Elapsed - countLag
	if counted < countLag {
		return 0
	}
	return float64(in.Sent.Baseline+in.Sent.Candidate) / counted.Seconds()
}

// plan returns the schedule for the traffic so far.
func plan(in Input, b Bounds, suspect bool) schedule {
	perSecond := traffic(in)
	total := budget(in, b, perSecond)
	least := min(wantedAnswers, 0.8*total)
	s := schedule{ramp: ramps[len(ramps)-1]}
	for _, ramp := range ramps {
		if perSecond*rampCost(ramp, minStep) <= total-least {
			s.ramp = ramp
			break
		}
	}
	small := max(min(smallBudget*total, total-perSecond*rampCost(s.ramp, minStep)), least)
	s.step = stepTime(s.ramp, (total-small)/max(perSecond, 1))
	calls := min(in.CallTime, fraction(in.Order.Duration, maxCallFraction))
	s.rampAt = in.Order.Duration - endTime(in.Order.Duration) - calls - reaction - holdTime(in.Order.Duration) - time.Duration(len(s.ramp)-1)*s.step
	if suspect && in.Elapsed >= s.rampAt {
		small = total // the evidence has to decide, so it goes on as long as calls are allowed
	}
	s.small = smallShare(in, small, perSecond, s.rampAt)
	return s
}

// endTime returns the time that is kept free before the deadline.
func endTime(duration time.Duration) time.Duration {
	return max(fraction(duration, endFraction), minEnd)
}

// holdTime returns how long the ramp can wait in all while the evidence is unsure.
func holdTime(duration time.Duration) time.Duration {
	return min(max(fraction(duration, holdFraction), minHold), maxHold)
}

// rampCost returns the time for which all calls could go to the candidate instead of the
// steps of a ramp, up to the end of calls if the last step shows that it is bad. Half of
// the reaction time is left to the half of the slack that budget doesn't count.
func rampCost(ramp []float64, step time.Duration) float64 {
	var sum float64
	for _, share := range ramp[:len(ramp)-1] {
		sum += share * step.Seconds()
	}
	return sum + reaction.Seconds()/2
}

// stepTime returns the time at each step for which the ramp costs as much as may be spent.
func stepTime(ramp []float64, seconds float64) time.Duration {
	perStep := rampCost(ramp, time.Second) - reaction.Seconds()/2
	if perStep <= 0 {
		return minStep
	}
	step := min((seconds-reaction.Seconds()/2)/perStep, maxStep.Seconds())
	return max(time.Duration(step*float64(time.Second)), minStep)
}

// smallShare returns the share at which the candidate gets the given number of calls
// until the ramp begins, or those that are left of them if it got more than planned.
func smallShare(in Input, calls, perSecond float64, rampAt time.Duration) float64 {
	begun := in.Elapsed
	if in.State.CandidateSince != 0 {
		begun = in.State.CandidateSince
	}
	due := func(from time.Duration) float64 { return max(perSecond*max(rampAt-from, minAdjust).Seconds(), 1) }
	share := min(calls/due(begun), (shareTolerance*calls-float64(in.Sent.Candidate))/due(in.Elapsed))
	return math.Round(1e4*min(max(share, 0), maxSmallShare)) / 1e4
}

// next returns the share that is due, and whether it is a step of the ramp. A suspect
// version gets no larger share, nor one of which the evidence is unsure while there is
// time.
func (s schedule) next(in Input, v verdict) (share float64, ramping bool) {
	st := in.State
	wait := in.Runners.Candidate == 0 || v.suspect() || (v.unsure() && s.hasTime(in))
	if st.Ramping {
		share := s.above(st.Share)
		if wait || in.Elapsed-st.ShareSince < s.step || (share == 1 && s.early(in)) {
			share = st.Share
		}
		return share, true
	}
	if !wait && s.rampDue(in) {
		return s.above(st.Share), true
	}
	return s.smallNow(in, wait), false
}

// rampDue reports whether the phase at a small share is over.
func (s schedule) rampDue(in Input) bool {
	least := max(fraction(in.Order.Duration, minSmallFraction), minSmall)
	begun := in.State.CandidateSince
	return begun != 0 && in.Elapsed >= s.rampAt && in.Elapsed-begun >= least
}

// smallNow returns the share of the phase before the ramp. After traffic has changed it is
// lowered soon, raised later, and neither for small differences.
func (s schedule) smallNow(in Input, wait bool) float64 {
	st := in.State
	if st.CandidateSince == 0 {
		settle := min(max(fraction(in.Order.Duration, settleFraction), minSettle), maxSettle)
		if in.Runners.Candidate == 0 || st.Before+in.Elapsed < settle {
			return 0
		}
		return s.small
	}
	since := in.Elapsed - st.ShareSince
	if s.small*shareTolerance <= st.Share && since >= minStep {
		return s.small
	}
	if s.small >= st.Share*shareTolerance && since >= minAdjust && !wait {
		return s.small
	}
	return st.Share
}

// early reports whether the last step can wait for more answers since the share was
// raised, as a version may be bad only at a larger share.
func (s schedule) early(in Input) bool {
	return answersSinceRaised(in) < rampAnswers && s.hasTime(in)
}

// hasTime reports whether there is time to wait before the next step.
func (s schedule) hasTime(in Input) bool {
	left := len(s.ramp) - 1 - slices.Index(s.ramp, s.above(in.State.Share))
	return in.Elapsed < s.rampAt+time.Duration(len(s.ramp)-1-left)*s.step+reaction+holdTime(in.Order.Duration)
}

// answersSinceRaised returns the number of the candidate's answers after the first step.
func answersSinceRaised(in Input) int64 {
	var n int64
	for _, p := range in.Periods {
		if p.Ramping {
			n += p.Evidence.Overall().Candidate.Answers
		}
	}
	return n
}

// above returns the first step of the ramp above a share.
func (s schedule) above(share float64) float64 {
	for _, step := range s.ramp {
		if step > share {
			return step
		}
	}
	return 1
}

// concentration returns the number of runners that get the candidate's calls, so that
// each has the load that it would have if all calls went to the candidate. Zero is all.
func concentration(share float64, runners int64) int {
	wanted := max(int(math.Ceil(share*float64(runners))), minRunners)
	if share <= 0 || share >= 1 || wanted >= int(runners) {
		return 0
	}
	return wanted
}
