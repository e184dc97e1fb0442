package proof_test

import (
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/standin/endpoint"
	"cicadawell.dev/standin/runner"
	"github.com/matryer/is"
)

// outLimit is how long new work may reach a zone that was taken out.
const outLimit = 3 * time.Second

// A zone is taken out under traffic, and comes back.
func TestZoneOutUnderTraffic(t *testing.T) {
	is := is.New(t)
	s := start(t)
	c := call(t, s, 6, bookings)
	a := call(t, s, 6, answers)
	a.more(t, 40)
	out := clock.System().Now()
	_, err := s.Ctl(t.Context(), "zone", "out", "zone1", "--reason", "test", "--follow")
	is.NoErr(err)
	c.during(t, outLimit)
	a.more(t, 40)
	in := clock.System().Now()
	_, err = s.Ctl(t.Context(), "zone", "in", "zone1", "--follow")
	is.NoErr(err)
	a.recovered(t, 40)
	_, recs := judge(t, s, c, a)
	last := lastRun(recs, "zone1", out, in)
	t.Logf("last new request %v after the order", last.Sub(out))
	is.True(last.Sub(out) < outLimit)
	notRun, unknown := a.unanswered()
	is.Equal(notRun+unknown, 0)
}

// A zone is taken out while the store is down.
func TestZoneOutInAStoreOutage(t *testing.T) {
	is := is.New(t)
	s := start(t)
	a := call(t, s, 6, answers)
	a.more(t, 40)
	put(t, s.Platform, endpoint.Faults{Down: true})
	out := clock.System().Now()
	_, err := s.Ctl(t.Context(), "zone", "out", "zone1", "--reason", "test")
	is.NoErr(err)
	a.during(t, 2*outLimit)
	end := clock.System().Now()
	put(t, s.Platform, endpoint.Faults{})
	_, recs := judge(t, s, a)
	last := lastRun(recs, "zone1", out, end)
	t.Logf("last new request %v after the order", last.Sub(out))
	is.True(last.Sub(out) < outLimit)
}

// A runner is drained under traffic.
func TestRunnerDrainedUnderTraffic(t *testing.T) {
	is := is.New(t)
	s := start(t)
	c := call(t, s, 6, bookings)
	c.more(t, 40)
	out := clock.System().Now()
	_, err := s.Ctl(t.Context(), "runner", "drain", "bookings1", "--follow")
	is.NoErr(err)
	c.during(t, outLimit)
	c.recovered(t, 40)
	v, recs := judge(t, s, c)
	is.Equal(v.NotRun+v.Unknown, 0)
	last := out
	for _, run := range runsOn(recs, func(rec runner.Record) bool { return rec.Runner == "bookings1" }) {
		if run.At.After(last) {
			last = run.At
		}
	}
	t.Logf("last new request %v after the order", last.Sub(out))
	is.True(last.Sub(out) < outLimit)
}

// lastRun returns when the last run in a zone between two times began, or the
// former time when there was none.
func lastRun(recs []runner.Record, zone string, from, to time.Time) time.Time {
	last := from
	for _, run := range runsOn(recs, func(rec runner.Record) bool { return rec.Zone == zone }) {
		if run.At.After(last) && run.At.Before(to) {
			last = run.At
		}
	}
	return last
}

// runsOn returns the runs of the runners that match, in no order.
func runsOn(recs []runner.Record, match func(runner.Record) bool) []runner.Run {
	var runs []runner.Run
	for _, rec := range recs {
		if match(rec) {
			runs = append(runs, rec.Runs...)
		}
	}
	return runs
}
