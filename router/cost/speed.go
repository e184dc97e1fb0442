// Package cost estimates how long engines take, from the answers that they gave. It
// does no I/O and has no clock of its own.
package cost

import (
	"math"
	"time"
)

const (
	// minRatio and maxRatio bound the ratio of an engine. Engines of one service differ
	// by 0.6 to 1.6 times, and other work on their machines slows them 2.5 times.
	minRatio = 0.4
	maxRatio = 4
	// usualGain is the weight of an observation in an engine's usual ratio, and
	// maxUsualStep bounds the deviation that counts, so that a slow-down changes it
	// little. usualHalfLife is the age at which it counts for half.
	usualGain     = 0.15
	maxUsualStep  = 0.5
	usualHalfLife = 15 * time.Second
	// recentGain is the weight of an observation in the recent slow-down beyond the
	// usual ratio, and minSlowDown is the deviation that is more than noise. Slow-downs
	// last for parts of a second, so that they count with the first observation, and
	// recentHalfLife lets an engine that gets no calls be tried again soon.
	recentGain     = 0.6
	minSlowDown    = 0.25
	recentHalfLife = 500 * time.Millisecond
	// overdueFactor and overdueMargin are how much longer than expected a first event
	// takes until the delay counts as a slow-down.
	overdueFactor = 1.3
	overdueMargin = 15 * time.Millisecond
)

// Speed is what is known of the speed of one engine. The zero value is that of an engine
// of which nothing is known.
type Speed struct {
	// usual is the logarithm of the ratio that the engine usually has, and recent that
	// of a recent slow-down on top of it, both at the time at.
	usual, recent float64
	at            time.Time
}

// Ratio returns how many times as long as expected of the service the engine takes. It
// is 1 if nothing is known.
func (s *Speed) Ratio(now time.Time) float64 {
	if s.usual == 0 && s.recent == 0 {
		return 1
	}
	usual, recent := s.faded(now)
	return boundRatio(math.Exp(usual + recent))
}

func (s *Speed) faded(now time.Time) (usual, recent float64) {
	age := max(0, now.Sub(s.at).Seconds())
	return s.usual * math.Exp2(-age/usualHalfLife.Seconds()), s.recent * math.Exp2(-age/recentHalfLife.Seconds())
}

// Observe records the time to a first event, and the one that was expected without
// regard to the engine's speed.
func (s *Speed) Observe(now time.Time, observed, expected time.Duration) {
	if observed <= 0 || expected <= 0 {
		return
	}
	usual, recent := s.faded(now)
	deviation := math.Log(boundRatio(observed.Seconds()/expected.Seconds())) - usual
	slowDown := 0.0
	if deviation > minSlowDown {
		slowDown = deviation
	}
	s.recent = recent + recentGain*(slowDown-recent)
	s.usual = usual + usualGain*min(max(-maxUsualStep, deviation), maxUsualStep)
	s.at = now
}

func boundRatio(r float64) float64 { return min(max(minRatio, r), maxRatio) }

// Overdue returns the ratio of an engine at which a call has waited for its first event
// for some time. It is ratio unless the call is overdue.
func Overdue(ratio float64, waited, expected time.Duration) float64 {
	if expected <= 0 || waited < time.Duration(overdueFactor*ratio*float64(expected))+overdueMargin {
		return ratio
	}
	return max(ratio, boundRatio(waited.Seconds()/expected.Seconds()))
}
