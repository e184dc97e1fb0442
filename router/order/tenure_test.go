package order_test

import (
	"testing"
	"time"

	"cicadawell.dev/router/order"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// rate is a clock that runs perMille faster than the store's.
type rate int64

var epoch = time.Unix(1_000_000, 0)

// at returns what the clock shows when the store's shows stored.
func (r rate) at(stored time.Duration) time.Time {
	return epoch.Add(stored + stored*time.Duration(r)/1000)
}

// stored returns the store's time when the clock shows own, rounded down.
func (r rate) stored(own time.Time) time.Duration {
	return time.Duration(int64(own.Sub(epoch)) * 1000 / (1000 + int64(r)))
}

// edge draws a duration that is often an end of its range.
func edge(t *rapid.T, name string, longest time.Duration) time.Duration {
	return rapid.OneOf(
		rapid.SampledFrom([]time.Duration{0, longest}),
		rapid.Map(rapid.Int64Range(0, int64(longest)), func(n int64) time.Duration { return time.Duration(n) }),
	).Draw(t, name)
}

// drift draws a clock that is often as fast or slow as it may be.
func drift(t *rapid.T, name string) rate {
	return rate(rapid.OneOf(rapid.SampledFrom([]int64{-47, 47}), rapid.Int64Range(-47, 47)).Draw(t, name))
}

// One holder orders as late as its tenure allows, is paused after the last
// check, and its order takes as long as it may; its lease lapses, the next
// holder creates the key at once and orders as early as its tenure allows.
func TestHandoverProperty(t *testing.T) {
	l := limits()
	rapid.Check(t, func(t *rapid.T) {
		a := drift(t, "drift of the old holder")
		b := drift(t, "drift of the new holder")
		tenure, lapse, held := oldTenure(t, a, l)

		// The old holder writes at some time at which the check passes.
		latest := a.stored(tenure.Until)
		write := max(held, latest-edge(t, "before the end", 2*l.Delivery))
		if tenure.Check("r", a.at(write), l) != nil {
			write = max(held, a.stored(tenure.Until.Add(-l.Delivery-l.Delivery/10)))
		}
		if tenure.Check("r", a.at(write), l) != nil {
			return // it held for too short a time to order at all
		}
		effect := write + edge(t, "pause", l.Delivery) + edge(t, "delivery", l.Delivery)

		// The new holder creates the key when the store has dropped it.
		created := lapse + edge(t, "creation", time.Second)
		learnt := created + edge(t, "answer", time.Second)
		next := order.Tenure{}.WithLease(2, b.at(created), l).WithHold("r", 2, b.at(learnt), l)
		hold, _ := next.Hold("r")
		for _, first := range []time.Duration{created, learnt, b.stored(hold.ReadyAt), b.stored(hold.ReadyAt) + 1} {
			if next.Check("r", b.at(first), l) == nil && first <= effect {
				t.Fatalf("new holder orders at %v, the old one's order takes effect at %v", first, effect)
			}
		}
	})
}

// oldTenure returns a tenure after some renewals, when the store drops its
// key at the latest call that reached it, and since when it can order.
func oldTenure(t *rapid.T, a rate, l order.Limits) (tenure order.Tenure, lapse, held time.Duration) {
	start := edge(t, "start", time.Second)
	effect := start + edge(t, "grant", time.Second)
	tenure = order.Tenure{}.WithLease(1, a.at(start), l).WithHold("r", 1, a.at(effect), l)
	hold, _ := tenure.Hold("r")
	held = a.stored(hold.ReadyAt) + 1
	lapse = effect + l.LeaseTTL
	for range rapid.IntRange(0, 3).Draw(t, "renewals") {
		start = effect + edge(t, "until renewal", l.LeaseTTL/2)
		effect = start + edge(t, "renewal", time.Second)
		if effect >= lapse {
			break
		}
		lapse = effect + l.LeaseTTL
		if rapid.Bool().Draw(t, "answered") {
			tenure = tenure.WithRenewal(a.at(start), l)
		}
	}
	return tenure, lapse, held
}

func TestTenureIsImmutable(t *testing.T) {
	is := is.New(t)
	l := limits()
	one := order.Tenure{}.WithLease(1, epoch, l).WithHold("a", 1, epoch, l)
	two := one.WithHold("b", 2, epoch, l).WithSpent("a")
	three := two.WithoutHold("b").WithUnsettled("a", epoch.Add(time.Second), l)
	ready := epoch.Add(2 * time.Second)
	is.Equal(one.Held(), []string{"a"})
	is.NoErr(one.Check("a", ready, l))
	is.True(two.Check("a", ready, l) != nil) // spent
	is.NoErr(two.Check("b", ready, l))
	is.True(three.Check("b", ready, l) != nil) // not held
	is.True(one.Check("a", epoch, l) != nil)   // waits
}

// A suspended machine may have stopped the monotonic clock; the wall clock
// then tells that the lease has ended.
func TestSuspensionEndsALease(t *testing.T) {
	is := is.New(t)
	l := limits()
	start := time.Now() //nolint:forbidigo // a reading of both clocks
	tenure := order.Tenure{}.WithLease(1, start, l).WithHold("a", 1, start, l)
	is.NoErr(tenure.Check("a", start.Add(2*time.Second), l))
	wallOnly := start.Add(time.Hour).Round(0)
	is.True(tenure.Check("a", wallOnly, l) != nil)
	// The wall clock set back does not lengthen the lease.
	is.True(tenure.Left(start.Add(time.Hour)) < 0)
}
