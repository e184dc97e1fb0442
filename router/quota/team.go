package quota

import (
	"math"
	"sync/atomic"
	"time"
)

// team is what an instance holds of a team with a limit.
type team struct {
	// next is the theoretical arrival time of the generic cell rate
	// algorithm, in Unix nanoseconds.
	next atomic.Int64
	// asked counts the requests of the current period.
	asked atomic.Int64
	// began is when the current period began, in Unix nanoseconds; only
	// Reports uses it.
	began int64
	// own and total are the demand here and over all instances, as bits of
	// a float64 in requests per second.
	own, total atomic.Uint64
	// learnt is when total was learnt, in Unix nanoseconds.
	learnt atomic.Int64
}

// share returns this instance's part of the limit. Over instances that know
// the same total the shares add up to the limit.
func (t *team) share(limit float64, instances int, even float64, now time.Time) float64 {
	n := float64(instances)
	if now.UnixNano()-t.learnt.Load() > int64(life) {
		return limit / n
	}
	own, total := math.Float64frombits(t.own.Load()), math.Float64frombits(t.total.Load())
	if total <= limit {
		return own + (limit-total)/n
	}
	return limit * ((1-even)*own/total + even/n)
}

// take admits one request at rate, saving up to burst.
func (t *team) take(now int64, rate float64, burst time.Duration) (bool, time.Duration) {
	gap := int64(float64(time.Second) / rate)
	tolerance := max(int64(burst), gap)
	for {
		old := t.next.Load()
		next := max(old, now) + gap
		if over := next - now - tolerance; over > 0 {
			return false, time.Duration(over)
		}
		if t.next.CompareAndSwap(old, next) {
			return true, 0
		}
	}
}

// period ends the period and returns the demand in requests per second.
func (t *team) period(now int64) float64 {
	asked := float64(t.asked.Swap(0))
	old := math.Float64frombits(t.own.Load())
	if t.began == 0 || now <= t.began {
		t.began = now
		t.own.Store(math.Float64bits(asked))
		return asked
	}
	rate := asked / time.Duration(now-t.began).Seconds()
	t.began = now
	demand := old + demandGain*(rate-old)
	t.own.Store(math.Float64bits(demand))
	return demand
}

// idle reports whether the team may be forgotten: nothing is asked, and the
// burst that it may save up is whole.
func (t *team) idle(now int64) bool {
	return math.Float64frombits(t.own.Load()) < least && t.next.Load() < now
}
