package rollout

import (
	"fmt"
	"slices"
	"time"
)

const (
	// minAnswers is the least number of the candidate's answers for a completion.
	minAnswers = 20
	// lateLimit is the time after the deadline at which a rollout that still waits, for
	// an instance or for calls in flight, is rolled back.
	lateLimit = 30 * time.Second
	// maxBarred bounds the versions in State.Barred; the oldest are dropped.
	maxBarred = 16
	// refreshAfter is the age of State.Elapsed at which it is written again. A successor
	// of the decider counts on from it, and is behind by that at most, and a write.
	refreshAfter = 800 * time.Millisecond
)

// Decide returns the state that follows from what is known of a rollout, and whether
// it differs from the state of the input. The step of a changed state is the next one.
func Decide(in Input, b Bounds) (next State, changed bool) {
	if in.State != nil {
		next = *in.State
	}
	if !b.Enabled() {
		return next, false
	}
	running := in.State != nil && next.Phase == Running
	switch {
	case in.Order == nil:
		if !running {
			return next, false
		}
		return rolledBack(in, "the order was withdrawn"), true
	case in.State != nil && in.Order.Revision.Before(next.Order()):
		return next, false // this instance hasn't read the order of the state yet
	case in.State == nil || next.Target != in.Order.Target, !running && next.Order() != in.Order.Revision:
		return started(in), true
	case !running:
		return next, false
	}
	if next.Order() != in.Order.Revision {
		return repeated(in), true
	}
	return progress(in, b)
}

// Refresh returns the state with the present Elapsed, and whether it is to be written
// although nothing was decided. The step stays.
func Refresh(in Input) (next State, due bool) {
	if in.State == nil || in.Order == nil || in.State.Phase != Running || in.State.Order() != in.Order.Revision {
		return State{}, false
	}
	next = *in.State
	next.Elapsed = in.Elapsed
	return next, in.Elapsed-in.State.Elapsed >= refreshAfter
}

// started returns the first state of an order. It bars the versions that were barred
// before, and that of a rollout that the order replaces.
func started(in Input) State {
	o := in.Order
	next := State{Service: o.Service, Target: o.Target, Step: 1, Phase: Running}.WithOrder(o.Revision)
	next.Elapsed, next.Duration, next.ShareSince = in.Elapsed, o.Duration, in.Elapsed
	next.Reason = "ordered"
	if prev := in.State; prev != nil {
		next.Step = prev.Step + 1
		next.Barred = slices.Clone(prev.Barred)
		if prev.Phase == Running {
			next.Barred = bar(next.Barred, prev.Target)
			next.Reason = fmt.Sprintf("ordered instead of %s", prev.Target)
		}
	}
	next.Barred = slices.DeleteFunc(next.Barred, func(v string) bool { return v == o.Target })
	switch {
	case in.Runners.Candidate == 0:
	case len(in.BaselineVersions) == 0:
		next.Phase, next.Share = Completed, 1
		next.Reason = "all runners have the version already"
	case len(allowedBaseline(in, next)) == 0:
		next.Share = 1
		next.Reason = "no other version is allowed"
	}
	return next
}

// repeated returns the state with the deadline of a repeated order. The times in it are
// counted from the new order.
func repeated(in Input) State {
	next := in.State.WithOrder(in.Order.Revision)
	next.Step++
	ran := next.Elapsed
	next.Before += ran
	next.ShareSince -= ran
	if next.CandidateSince != 0 {
		next.CandidateSince -= ran
	}
	next.Elapsed, next.Duration = in.Elapsed, in.Order.Duration
	next.Reason = "the order was repeated"
	return next
}

// progress returns the state of a running rollout.
func progress(in Input, b Bounds) (State, bool) {
	st := *in.State
	v := judge(in)
	// Without another allowed version there is nothing to compare with.
	alone := len(allowedBaseline(in, st)) == 0 && in.Runners.Candidate > 0
	if reason := faultOf(in, b, v); reason != "" {
		return rolledBack(in, reason), true
	}
	switch {
	case alone && st.Share == 0 && len(in.BaselineVersions) == 0:
		return completed(in, "all runners have the version already"), true
	case alone && st.Share == 0:
		return withShare(in, 1, true, "no other version is allowed"), true
	case st.Share >= 1 && drained(in) && (alone || proven(in, v)):
		return completed(in, "no fault in "+summary(in)), true
	}
	if reason := overdue(in, v, alone); reason != "" {
		return rolledBack(in, reason), true
	}
	return scheduled(in, b, v)
}

// faultOf returns why the version gets no more calls, or an empty string.
func faultOf(in Input, b Bounds, v verdict) string {
	switch {
	case v.bad():
		return v.reason
	case in.State.Share >= 1 && in.Runners.Candidate == 0:
		return fmt.Sprintf("no runner of %s is left", in.State.Target)
	case in.State.Share < 1 && v.suspect() && exhausted(in, b):
		return "suspect, and no more calls are allowed: " + v.reason
	}
	return ""
}

// scheduled returns the state with the share and the runners that are due.
func scheduled(in Input, b Bounds, v verdict) (State, bool) {
	st := *in.State
	if st.Share >= 1 {
		return st, false
	}
	share, ramping := plan(in, b, v.suspect()).next(in, v)
	if share != st.Share || ramping != st.Ramping {
		return withShare(in, share, ramping, "no fault in "+summary(in)), true
	}
	if n := concentration(share, in.Runners.Candidate); n != st.Runners && in.Runners.Candidate > 0 {
		st.Step++
		st.Runners = n
		st.Elapsed = in.Elapsed
		st.Reason = fmt.Sprintf("%s has %d runners", st.Target, in.Runners.Candidate)
		return st, true
	}
	return st, false
}

// withShare returns the state with another share.
func withShare(in Input, share float64, ramping bool, reason string) State {
	next := *in.State
	if share > 0 && next.CandidateSince == 0 {
		next.CandidateSince = in.Elapsed
	}
	next.Step++
	next.Share, next.Ramping = share, ramping
	next.Runners = concentration(share, in.Runners.Candidate)
	next.Elapsed, next.ShareSince = in.Elapsed, in.Elapsed
	next.Reason = reason
	return next
}

func completed(in Input, reason string) State {
	next := withShare(in, 1, in.State.Ramping, reason)
	next.Phase = Completed
	for _, version := range in.BaselineVersions {
		next.Barred = bar(next.Barred, version)
	}
	return next
}

func rolledBack(in Input, reason string) State {
	next := withShare(in, 0, false, reason)
	next.Phase = RolledBack
	next.Barred = bar(next.Barred, next.Target)
	return next
}

// bar returns the versions with one more, without changing the given ones.
func bar(versions []string, version string) []string {
	out := slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == version })
	out = append(out, version)
	return out[max(len(out)-maxBarred, 0):]
}

// allowedBaseline returns the versions that may get calls beside the target.
func allowedBaseline(in Input, s State) []string {
	return slices.DeleteFunc(slices.Clone(in.BaselineVersions), func(v string) bool { return slices.Contains(s.Barred, v) })
}

// drained reports whether the old runners may be stopped: all instances send them no more
// calls, and none that is in flight there is needed. Shortly before the deadline those
// that may be repeated aren't.
func drained(in Input) bool {
	if in.Unconfirmed > 0 || in.BaselineAtMostOnce > 0 {
		return false
	}
	final := max(fraction(in.Order.Duration, finalFraction), minFinal)
	return in.InFlight.Baseline == 0 || in.Elapsed >= in.Order.Duration-final
}

// proven reports whether the evidence suffices for a completion. While there is time, it
// waits for answers since the share was raised.
func proven(in Input, v verdict) bool {
	if v.suspect() || !v.proven || in.Total.Overall().Candidate.Answers < minAnswers {
		return false
	}
	enough := !v.unsure() && v.rampProven && answersSinceRaised(in) >= rampAnswers
	return enough || in.Elapsed >= in.Order.Duration-fraction(endTime(in.Order.Duration), 0.75)
}

// overdue returns why the rollout ends at its deadline, or an empty string. A version
// without fault may go on for a while, as being late does less harm than a rollback.
func overdue(in Input, v verdict, alone bool) string {
	answers := in.Total.Overall().Candidate.Answers
	switch {
	case in.Elapsed < in.Order.Duration:
		return ""
	case in.Runners.Candidate == 0:
		return fmt.Sprintf("no runner of %s at the deadline", in.State.Target)
	case !alone && answers < minAnswers:
		return fmt.Sprintf("%d answers of %s at the deadline, %d are needed", answers, in.State.Target, minAnswers)
	case !alone && v.suspect():
		return "suspect at the deadline: " + v.reason
	case !alone && !v.proven:
		return "not proven at the deadline: " + summary(in)
	case in.Elapsed >= in.Order.Duration+lateLimit:
		return fmt.Sprintf("%d instances not confirmed and %d calls in flight at the old versions, %v after the deadline", in.Unconfirmed, in.InFlight.Baseline, lateLimit)
	}
	return ""
}

// summary describes the candidate's evidence.
func summary(in Input) string {
	all := in.Total.Overall()
	return fmt.Sprintf("%d answers, %d failures (old versions %d, %d)", all.Candidate.Answers, all.Candidate.Failures, all.Baseline.Answers, all.Baseline.Failures)
}
