package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// badBelow is the probability of what was observed, for a sound version, below which
	// a version is bad; suspectBelow that below which it gets no larger share and isn't
	// completed; unsureBelow that below which it gets no larger share while there is time.
	// They are divided by the number of routes, and one for all of them.
	badBelow     = 1e-4
	suspectBelow = 2e-3
	unsureBelow  = 5e-2
	// failureMargin and lateMargin are added to the baseline's rates. They keep small
	// lasting differences, which many answers make significant, from ending a rollout.
	// Late answers need less, as those of a sound version are expected later already.
	failureMargin = 0.02
	lateMargin    = 0.005
	// priorAnswers is the weight, in answers, of the baseline's earlier rate on a route. It
	// decides only where the baseline has few answers, as at a share of 1.
	priorAnswers = 20
	// borrowedAnswers is the number of answers at the usual rate that the baseline counts
	// as having on a route in a period, if it has fewer.
	borrowedAnswers = 10
	// slowerBuckets is the number of buckets by which a sound version's answers may be
	// later, a factor of 1.68: runners that have just started are up to 1.6 times slower.
	// If the lower quartile shows no such slowness, by more than a bucket, it is
	// alikeBuckets, a factor of 1.41, as then only some runners may have just started.
	slowerBuckets = 3
	alikeBuckets  = 2
	// alikeAnswers is the number of the candidate's answers from which its lower quartile
	// counts.
	alikeAnswers = 12
	// badExcess is the least excess of failures of a bad version. A version is proven only
	// if so few failures would have a probability below missBelow with that excess.
	badExcess = 0.25
	missBelow = 0.05
	// minPending is the number of calls in flight from which their division between the
	// groups is judged.
	minPending = 20
)

// latencyQuantiles are the quantiles of the baseline's times beyond which the answers of
// both groups are compared. The high ones show a version of which few answers are slow.
var latencyQuantiles = []float64{0.5, 0.75, 0.9, 0.97, 0.99}

// verdict is the result of a comparison of the two groups.
type verdict struct {
	// p is the probability of the least likely result, for a sound version, times the
	// number of routes and one.
	p      float64
	reason string
	// proven is set if few enough answers of the candidate are failures to rule out that
	// it is bad, rampProven if those since the share was raised are.
	proven, rampProven bool
}

func (v verdict) bad() bool     { return v.p < badBelow }
func (v verdict) suspect() bool { return v.p < suspectBelow }
func (v verdict) unsure() bool  { return v.p < unsureBelow }

// judge compares the candidate with the baseline: over the whole rollout, over the steps
// after the phase at a small share, and over the recent past.
func judge(in Input) verdict {
	periods := in.Periods
	if len(periods) == 0 {
		periods = []Period{{Evidence: in.Total}}
	}
	all := strata(periods, in.Total)
	out := least(verdict{p: 1}, all.judge("since the order"))
	var rampProven bool
	ramp := slices.IndexFunc(periods, func(p Period) bool { return p.Ramping })
	if ramp > 0 {
		raised := all.from(ramp)
		out = least(out, raised.judge("since the share was raised"))
		rampProven = raised.proven()
	}
	if recentIsUniform(in) {
		out = least(out, all.recent(in.Recent).judge("recently"))
	}
	out = least(out, judgePending(in))
	out.proven, out.rampProven = all.proven(), rampProven
	return out
}

// proven reports whether the failures on all routes rule out a bad version. A comparison
// that finds no fault in few answers doesn't.
func (s routeStrata) proven() bool {
	var e expectation
	for _, list := range s {
		e.plus(failed(list))
	}
	return e.answers > 0 && 1-upperTail(float64(e.observed+1), float64(e.answers), e.expected/float64(e.answers)+badExcess) < missBelow
}

func least(a, b verdict) verdict {
	if b.p < a.p {
		return b
	}
	return a
}

// recentIsUniform reports whether the share was the same all the time that Recent covers.
func recentIsUniform(in Input) bool {
	return in.State != nil && in.Elapsed-in.State.ShareSince >= RecentWindow+applyLag
}

// stratum has the answers on one route in one period, with the baseline's answers on the
// route before.
type stratum struct {
	RouteEvidence
	// usual has the rates of the baseline in the period, and before it where it has few
	// answers.
	usual *rates
	// failed is the baseline's rate of failures in the whole rollout.
	failed float64
}

// rates has fractions of the baseline's answers: of failures, and of those beyond each
// bucket.
type rates struct {
	failed float64
	beyond [buckets]float64
}

// routeStrata has the strata of each route in order of time.
type routeStrata map[string][]stratum

// strata divides the answers by route and period.
func strata(periods []Period, total Evidence) routeStrata {
	overall := total.Overall().Baseline
	common := float64(overall.Failures) + 0.5
	common /= float64(overall.Answers) + 1
	out := make(routeStrata, len(total))
	for route, sum := range total {
		earlier := firstRates(sum.Baseline, common)
		failed := earlier.failed
		for _, p := range periods {
			s := stratum{RouteEvidence: p.Evidence[route], failed: failed}
			usual := earlier.after(s.Baseline)
			s.usual, earlier = &usual, usual
			out[route] = append(out[route], s)
		}
	}
	return out
}

// firstRates returns the rates of a route over the whole rollout. Failures on other
// routes count as a prior; the times there say nothing about this one. Without answers
// every time counts as usual.
func firstRates(t Tally, failed float64) rates {
	out := rates{failed: failed}
	for b := range out.beyond {
		out.beyond[b] = 1
		if n := t.Successes(); n > 0 {
			out.beyond[b] = (float64(t.above(b)) + 0.5) / (float64(n) + 1)
		}
	}
	out.failed = out.after(t).failed
	return out
}

// after returns the rates after further answers.
func (r rates) after(t Tally) rates {
	r.failed = (float64(t.Failures) + priorAnswers*r.failed) / (float64(t.Answers) + priorAnswers)
	n := float64(t.Successes())
	for b := range r.beyond {
		r.beyond[b] = (float64(t.above(b)) + priorAnswers*r.beyond[b]) / (n + priorAnswers)
	}
	return r
}

// from returns the strata of the periods from one on.
func (s routeStrata) from(period int) routeStrata {
	out := make(routeStrata, len(s))
	for route, list := range s {
		out[route] = list[period:]
	}
	return out
}

// recent returns one stratum for each route that has recent answers.
func (s routeStrata) recent(recent Evidence) routeStrata {
	out := make(routeStrata, len(recent))
	for route, r := range recent {
		if list := s[route]; len(list) > 0 {
			last := list[len(list)-1]
			usual := last.usual.after(r.Baseline)
			out[route] = []stratum{{RouteEvidence: r, usual: &usual, failed: last.failed}}
		}
	}
	return out
}

// expectation sums up, over strata, the candidate's answers and how many of them would be
// failures or late if it were sound.
type expectation struct {
	answers, observed int64
	// expected is the number at the baseline's rates, variance that of its error.
	expected, variance float64
	// events counts the failures or late answers of both groups, and shared how many of
	// them would be the candidate's by its part of the answers.
	events, shared float64
}

// add counts a stratum in which observed of n answers of the candidate, and baseObserved
// of baseN answers of the baseline, are failures or late. Rate is the baseline's usual
// rate.
func (e *expectation) add(n, observed, baseN, baseObserved int64, rate float64) {
	cand, base := float64(n), float64(baseN)
	e.answers += n
	e.observed += observed
	e.expected += cand * rate
	e.variance += cand * cand * rate * (1 - rate) / (base + priorAnswers)
	borrowed := max(borrowedAnswers-base, 0)
	events := float64(observed) + float64(baseObserved) + borrowed*rate
	e.events += events
	e.shared += events * cand / (cand + base + borrowed)
}

func (e *expectation) plus(other expectation) {
	e.answers += other.answers
	e.observed += other.observed
	e.expected += other.expected
	e.variance += other.variance
	e.events += other.events
	e.shared += other.shared
}

// rate returns the baseline's rate, with one standard deviation of its error.
func (e expectation) rate() float64 {
	return (e.expected + math.Sqrt(e.variance)) / float64(e.answers)
}

// p returns the probability of as many failures or late answers as observed for a sound
// candidate, at the baseline's rate plus a margin. That rate rests on the past too, which
// a fault of all runners that has just begun makes useless. So the candidate's part of the
// failures or late answers of both groups must be unlikely as well; the square root of the
// probability is enough there, as such a fault is itself unlikely at that moment.
func (e expectation) p(margin float64) float64 {
	if e.answers == 0 || float64(e.observed) <= e.expected {
		return 1
	}
	p := upperTail(float64(e.observed), float64(e.answers), e.rate()+margin)
	part := upperTail(float64(e.observed), e.events, e.shared/e.events)
	return max(p, part*part)
}

func (e expectation) String() string {
	return fmt.Sprintf("%d of %d answers, %.1f%% expected", e.observed, e.answers, 100*e.rate())
}

// judge compares the groups on each route and on all of them.
func (s routeStrata) judge(when string) verdict {
	tests := float64(len(s) + 1)
	out := verdict{p: 1}
	test := func(what, where string, e expectation, margin float64) {
		if p := e.p(margin) * tests; p < out.p {
			out = verdict{p: p, reason: fmt.Sprintf("%s %s %s: %v", what, where, when, e)}
		}
	}
	var failures expectation
	late := make([]expectation, len(latencyQuantiles))
	for _, route := range slices.Sorted(maps.Keys(s)) {
		where := fmt.Sprintf("on route %q", route)
		e := failed(s[route])
		test("failures", where, e, failureMargin)
		failures.plus(e)
		for i, q := range latencyQuantiles {
			e, limit := slow(s[route], q)
			test(fmt.Sprintf("answers after more than %v", limit.Round(time.Millisecond)), where, e, lateMargin)
			late[i].plus(e)
		}
	}
	test("failures", "on all routes", failures, failureMargin)
	for i, q := range latencyQuantiles {
		test(fmt.Sprintf("answers far beyond the old versions' %g quantile", q), "on all routes", late[i], lateMargin)
	}
	return out
}

// failed compares the failures in the strata of a route. A rate below that of the whole
// rollout may be chance, so the higher one counts.
func failed(list []stratum) expectation {
	var e expectation
	for _, s := range list {
		if s.Candidate.Answers > 0 {
			e.add(s.Candidate.Answers, s.Candidate.Failures, s.Baseline.Answers, s.Baseline.Failures, max(s.usual.failed, s.failed))
		}
	}
	return e
}

// slow compares the answers that are later than a quantile of the baseline's times, for
// the candidate later than 1.7 times that time, which is returned.
func slow(list []stratum, quantile float64) (expectation, time.Duration) {
	var e expectation
	bucket := usualBucket(list, quantile)
	limit := bucket + allowance(list)
	if bucket < 0 || limit >= buckets-1 {
		return e, 0
	}
	for _, s := range list {
		if n := s.Candidate.Successes(); n > 0 {
			e.add(n, s.Candidate.above(limit), s.Baseline.Successes(), s.Baseline.above(bucket), s.usual.beyond[bucket])
		}
	}
	return e, upperLimit(limit)
}

// allowance returns the number of buckets by which a sound candidate's answers may be
// later on a route.
func allowance(list []stratum) int {
	var all RouteEvidence
	for _, s := range list {
		all.Baseline = all.Baseline.Plus(s.Baseline)
		all.Candidate = all.Candidate.Plus(s.Candidate)
	}
	usual := all.Baseline.quantileBucket(0.25)
	if usual >= 0 && all.Candidate.Successes() >= alikeAnswers && all.Candidate.quantileBucket(0.25) <= usual+1 {
		return alikeBuckets
	}
	return slowerBuckets
}

// usualBucket returns the bucket with a quantile of the baseline's times on a route, or -1
// if the baseline has no answers there.
func usualBucket(list []stratum, quantile float64) int {
	var base Tally
	for _, s := range list {
		base = base.Plus(s.Baseline)
	}
	if b := base.quantileBucket(quantile); b >= 0 || len(list) == 0 {
		return b
	}
	return slices.IndexFunc(list[0].usual.beyond[:], func(f float64) bool { return f <= 1-quantile })
}

// judgePending compares the calls in flight, as those that are never answered, or after
// many times the usual time, give no evidence until they end. While the share grows, the
// candidate has fewer calls in flight than its share.
func judgePending(in Input) verdict {
	out := verdict{p: 1}
	if in.State == nil || in.State.Share <= 0 || in.State.Share >= 1 || in.InFlight.Baseline+in.InFlight.Candidate < minPending {
		return out
	}
	if !in.State.Ramping && in.Elapsed-in.State.ShareSince < max(in.CallTime, RecentWindow) {
		return out // the share may have been lowered
	}
	const slower = 2
	e := expectation{answers: in.InFlight.Baseline + in.InFlight.Candidate, observed: in.InFlight.Candidate}
	share := in.State.Share
	e.expected = float64(e.answers) * slower * share / (slower*share + 1 - share)
	if p := upperTail(float64(e.observed), float64(e.answers), e.rate()+failureMargin); p < out.p {
		out = verdict{p: p, reason: fmt.Sprintf("calls in flight at the new version: %v", e)}
	}
	return out
}
