package order_test

import (
	"testing"
	"time"

	"cicadawell.dev/router/order"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// clockRate is a clock that runs perMille faster than the store's.
type clockRate int64

var epoch = time.Unix(1_000_000, 0)

// clockTime returns the clock's time when the store's clock shows stored.
func (r clockRate) clockTime(stored time.Duration) time.Time {
	return epoch.Add(stored + stored*time.Duration(r)/1000)
}

// storeTime returns the store's time when this clock shows own, rounded down.
func (r clockRate) storeTime(own time.Time) time.Duration {
	return time.Duration(int64(own.Sub(epoch)) * 1000 / (1000 + int64(r)))
}

// drawDuration draws a duration of at most longest, often 0 or longest.
func drawDuration(t *rapid.T, name string, longest time.Duration) time.Duration {
	return rapid.OneOf(
		rapid.SampledFrom([]time.Duration{0, longest}),
		rapid.Map(rapid.Int64Range(0, int64(longest)), func(n int64) time.Duration { return time.Duration(n) }),
	).Draw(t, name)
}

// drawClockRate draws a clock that often has the maximum drift in one direction.
func drawClockRate(t *rapid.T, name string) clockRate {
	return clockRate(rapid.OneOf(rapid.SampledFrom([]int64{-47, 47}), rapid.Int64Range(-47, 47)).Draw(t, name))
}

// Guards against an order of the old lock holder that takes effect after the
// first order of the new one. The old holder orders as late as its session
// allows, is paused after the last check, and the delivery takes as long as
// allowed. Its lease expires, and the new holder creates the key at once and
// orders as early as its session allows.
func TestHandoverProperty(t *testing.T) {
	l := limits()
	rapid.Check(t, func(t *rapid.T) {
		a := drawClockRate(t, "drift of the old holder")
		b := drawClockRate(t, "drift of the new holder")
		session, expiry, usableFrom := oldSession(t, a, l)

		// The old holder writes the order at a time at which the check passes.
		latest := a.storeTime(session.ValidUntil)
		write := max(usableFrom, latest-drawDuration(t, "before the end", 2*l.Delivery))
		if session.CheckReady("r", a.clockTime(write), l) != nil {
			write = max(usableFrom, a.storeTime(session.ValidUntil.Add(-l.Delivery-l.Delivery/10)))
		}
		if session.CheckReady("r", a.clockTime(write), l) != nil {
			return // the lock was held for too short a time to send any order
		}
		effectAt := write + drawDuration(t, "pause", l.Delivery) + drawDuration(t, "delivery", l.Delivery)

		// The new holder creates the key after the store has dropped it.
		created := expiry + drawDuration(t, "creation", time.Second)
		answered := created + drawDuration(t, "answer", time.Second)
		next := order.Session{}.WithLease(2, b.clockTime(created), l).WithLock("r", 2, b.clockTime(answered), l)
		lock, _ := next.Lock("r")
		for _, first := range []time.Duration{created, answered, b.storeTime(lock.ReadyAt), b.storeTime(lock.ReadyAt) + 1} {
			if next.CheckReady("r", b.clockTime(first), l) == nil && first <= effectAt {
				t.Fatalf("new holder orders at %v, the old one's order takes effect at %v", first, effectAt)
			}
		}
	})
}

// oldSession returns a session after some renewals, the time when the store
// drops its key by the last renewal that reached the store, and the time from
// which the session's lock is ready.
func oldSession(t *rapid.T, a clockRate, l order.Limits) (session order.Session, expiry, usableFrom time.Duration) {
	start := drawDuration(t, "start", time.Second)
	effect := start + drawDuration(t, "grant", time.Second)
	session = order.Session{}.WithLease(1, a.clockTime(start), l).WithLock("r", 1, a.clockTime(effect), l)
	lock, _ := session.Lock("r")
	usableFrom = a.storeTime(lock.ReadyAt) + 1
	expiry = effect + l.LeaseTTL
	for range rapid.IntRange(0, 3).Draw(t, "renewals") {
		start = effect + drawDuration(t, "until renewal", l.LeaseTTL/2)
		effect = start + drawDuration(t, "renewal", time.Second)
		if effect >= expiry {
			break
		}
		expiry = effect + l.LeaseTTL
		if rapid.Bool().Draw(t, "answered") {
			session = session.WithRenewal(a.clockTime(start), l)
		}
	}
	return session, expiry, usableFrom
}

func TestSessionIsImmutable(t *testing.T) {
	is := is.New(t)
	l := limits()
	one := order.Session{}.WithLease(1, epoch, l).WithLock("a", 1, epoch, l)
	two := one.WithLock("b", 2, epoch, l).WithInvalidated("a")
	three := two.WithoutLock("b").WithUnansweredOrder("a", epoch.Add(time.Second), l)
	ready := epoch.Add(2 * time.Second)
	is.Equal(one.LockedRunners(), []string{"a"})
	is.NoErr(one.CheckReady("a", ready, l))
	is.True(two.CheckReady("a", ready, l) != nil) // invalidated
	is.NoErr(two.CheckReady("b", ready, l))
	is.True(three.CheckReady("b", ready, l) != nil) // not locked
	is.True(one.CheckReady("a", epoch, l) != nil)   // lock delay
}

// The monotonic clock may stop while a machine is suspended. The wall clock then
// shows that the lease has ended.
func TestSuspensionEndsALease(t *testing.T) {
	is := is.New(t)
	l := limits()
	start := time.Now() //nolint:forbidigo // a reading of both clocks
	session := order.Session{}.WithLease(1, start, l).WithLock("a", 1, start, l)
	is.NoErr(session.CheckReady("a", start.Add(2*time.Second), l))
	wallOnly := start.Add(time.Hour).Round(0)
	is.True(session.CheckReady("a", wallOnly, l) != nil)
	// Setting the wall clock back does not extend the lease.
	is.True(session.Remaining(start.Add(time.Hour)) < 0)
}
