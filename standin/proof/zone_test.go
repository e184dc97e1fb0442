package proof_test

import (
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/standin/endpoint"
	"cicadawell.dev/standin/runner"
	"github.com/matryer/is"
)

// takeOutLimit bounds the time during which new work may still reach a zone or
// runner after the order to take it out.
const takeOutLimit = 3 * time.Second

// Takes a zone out under traffic and back in.
func TestZoneOutUnderTraffic(t *testing.T) {
	is := is.New(t)
	s := startFleet(t)
	c := startCallers(t, s, 6, bookings)
	a := startCallers(t, s, 6, answers)
	a.waitCalls(t, 40)
	out := clock.System().Now()
	_, err := s.Ctl(t.Context(), "zone", "out", "zone1", "--reason", "test", "--follow")
	is.NoErr(err)
	c.callFor(t, takeOutLimit)
	a.waitCalls(t, 40)
	in := clock.System().Now()
	_, err = s.Ctl(t.Context(), "zone", "in", "zone1", "--follow")
	is.NoErr(err)
	a.waitRecovery(t, 40)
	_, recs := stopAndVerify(t, s, c, a)
	last := lastRun(recs, "zone1", out, in)
	t.Logf("last new request %v after the order", last.Sub(out))
	is.True(last.Sub(out) < takeOutLimit)
	notRun, unknown := a.unanswered()
	is.Equal(notRun+unknown, 0)
}

// Takes a zone out while the store is down.
func TestZoneOutInAStoreOutage(t *testing.T) {
	is := is.New(t)
	s := startFleet(t)
	a := startCallers(t, s, 6, answers)
	a.waitCalls(t, 40)
	setFaults(t, s.Platform, endpoint.Faults{Down: true})
	out := clock.System().Now()
	_, err := s.Ctl(t.Context(), "zone", "out", "zone1", "--reason", "test")
	is.NoErr(err)
	a.callFor(t, 2*takeOutLimit)
	end := clock.System().Now()
	setFaults(t, s.Platform, endpoint.Faults{})
	_, recs := stopAndVerify(t, s, a)
	last := lastRun(recs, "zone1", out, end)
	t.Logf("last new request %v after the order", last.Sub(out))
	is.True(last.Sub(out) < takeOutLimit)
}

// Drains a runner under traffic.
func TestRunnerDrainedUnderTraffic(t *testing.T) {
	is := is.New(t)
	s := startFleet(t)
	c := startCallers(t, s, 6, bookings)
	c.waitCalls(t, 40)
	out := clock.System().Now()
	_, err := s.Ctl(t.Context(), "runner", "drain", "bookings1", "--follow")
	is.NoErr(err)
	c.callFor(t, takeOutLimit)
	c.waitRecovery(t, 40)
	v, recs := stopAndVerify(t, s, c)
	is.Equal(v.NotRun+v.Unknown, 0)
	last := out
	for _, run := range runsOn(recs, func(rec runner.Record) bool { return rec.Runner == "bookings1" }) {
		if run.At.After(last) {
			last = run.At
		}
	}
	t.Logf("last new request %v after the order", last.Sub(out))
	is.True(last.Sub(out) < takeOutLimit)
}

// lastRun returns the start time of the last run in a zone between from and to. It
// returns from when there is no such run.
func lastRun(recs []runner.Record, zone string, from, to time.Time) time.Time {
	last := from
	for _, run := range runsOn(recs, func(rec runner.Record) bool { return rec.Zone == zone }) {
		if run.At.After(last) && run.At.Before(to) {
			last = run.At
		}
	}
	return last
}

// runsOn returns the runs of the runners that match, in no particular order.
func runsOn(recs []runner.Record, match func(runner.Record) bool) []runner.Run {
	var runs []runner.Run
	for _, rec := range recs {
		if match(rec) {
			runs = append(runs, rec.Runs...)
		}
	}
	return runs
}
