package quota

import (
	"math"
	"sync/atomic"
	"time"
)

// teamState is the state that an instance keeps for a team with a limit.
type teamState struct {
	// theoreticalArrival is the theoretical arrival time of the generic cell
	// rate algorithm, in Unix nanoseconds.
	theoreticalArrival atomic.Int64
	// requests counts the requests of the current period.
	requests atomic.Int64
	// periodStart is when the current period began, in Unix nanoseconds. Only
	// EndPeriod uses it.
	periodStart int64
	// ownDemand and totalDemand are the demand at this instance and over all
	// instances, as bits of a float64 in requests per second.
	ownDemand, totalDemand atomic.Uint64
	// totalAt is when totalDemand was received, in Unix nanoseconds.
	totalAt atomic.Int64
}

// share returns this instance's share of the limit in requests per second. The
// shares add up to the limit over instances that use the same total demand.
// Without a recent total, the limit is divided evenly.
func (t *teamState) share(limit float64, instances int, evenFraction float64, now time.Time) float64 {
	n := float64(instances)
	if now.UnixNano()-t.totalAt.Load() > int64(reportTTL) {
		return limit / n
	}
	own, total := math.Float64frombits(t.ownDemand.Load()), math.Float64frombits(t.totalDemand.Load())
	if total <= limit {
		return own + (limit-total)/n
	}
	return limit * ((1-evenFraction)*own/total + evenFraction/n)
}

// admit admits one request if the rate allows it; unused capacity accumulates
// up to burst. Otherwise it returns the time until a retry makes sense.
func (t *teamState) admit(now int64, rate float64, burst time.Duration) (bool, time.Duration) {
	interval := int64(float64(time.Second) / rate)
	tolerance := max(int64(burst), interval)
	for {
		old := t.theoreticalArrival.Load()
		next := max(old, now) + interval
		if retryAfter := next - now - tolerance; retryAfter > 0 {
			return false, time.Duration(retryAfter)
		}
		if t.theoreticalArrival.CompareAndSwap(old, next) {
			return true, 0
		}
	}
}

// endPeriod ends the period and returns the demand in requests per second.
func (t *teamState) endPeriod(now int64) float64 {
	requests := float64(t.requests.Swap(0))
	old := math.Float64frombits(t.ownDemand.Load())
	if t.periodStart == 0 || now <= t.periodStart {
		t.periodStart = now
		t.ownDemand.Store(math.Float64bits(requests))
		return requests
	}
	rate := requests / time.Duration(now-t.periodStart).Seconds()
	t.periodStart = now
	demand := old + demandGain*(rate-old)
	t.ownDemand.Store(math.Float64bits(demand))
	return demand
}

// idle reports whether the state may be deleted: the demand is negligible and
// the whole burst has accumulated, so that a new state would admit no more.
func (t *teamState) idle(now int64) bool {
	return math.Float64frombits(t.ownDemand.Load()) < minDemand && t.theoreticalArrival.Load() < now
}
