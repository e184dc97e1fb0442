package proof_test

import (
	"syscall"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/standin/endpoint"
	"cicadawell.dev/standin/scene"
	"github.com/matryer/is"
)

// Kills one of the five instances, the home of about a fifth of the keys, while
// bookings are in flight.
// Callers retry bookings with an unknown outcome, also after other instances
// have taken over the keys. No booking runs twice, and none that is answered as
// not run has run.
func TestKilledHome(t *testing.T) {
	s := startFleet(t)
	slowBookings(t, s)
	c := startCallers(t, s, 24, retriedBookings)
	c.waitCalls(t, 60)
	s.Routers[1].Kill()
	c.waitCalls(t, 60)
	c.waitRecovery(t, 200)
	stopAndVerify(t, s, c)
}

// Pauses a home instance while bookings are in flight until other instances
// have taken over its keys, and then resumes it with its stale state.
func TestPausedHome(t *testing.T) {
	s := startFleet(t)
	slowBookings(t, s)
	c := startCallers(t, s, 24, retriedBookings)
	c.waitCalls(t, 60)
	paused := s.Routers[1]
	paused.Signal(syscall.SIGSTOP)
	c.excluded.Store(paused)
	c.waitRecovery(t, 200)
	paused.Signal(syscall.SIGCONT)
	c.excluded.Store(nil)
	c.waitRecovery(t, 60)
	stopAndVerify(t, s, c)
}

// outageDuration is the length of a store outage, several times the TTL of a lease.
const outageDuration = 10 * time.Second

// The store is down for several times the TTL of a lease.
func TestStoreDown(t *testing.T) {
	s := startFleet(t)
	c := startCallers(t, s, 6, bookings)
	a := startCallers(t, s, 4, answers)
	c.waitCalls(t, 30)
	setFaults(t, s.Platform, endpoint.Faults{Down: true})
	c.callFor(t, outageDuration)
	setFaults(t, s.Platform, endpoint.Faults{})
	c.waitRecovery(t, 30)
	v, _ := stopAndVerify(t, s, c, a)
	notRun, unknown := a.unanswered()
	is := is.New(t)
	is.Equal(notRun+unknown, 0) // idempotent requests do not need the store
	is.Equal(v.NotRun+v.Unknown, 0)
}

// Each store call takes longer than the timeout of the routers.
func TestStoreSlow(t *testing.T) {
	s := startFleet(t)
	c := startCallers(t, s, 6, bookings)
	c.waitCalls(t, 30)
	setFaults(t, s.Platform, endpoint.Faults{SlowMillis: 3000})
	c.callFor(t, outageDuration)
	setFaults(t, s.Platform, endpoint.Faults{})
	c.waitRecovery(t, 30)
	v, _ := stopAndVerify(t, s, c)
	is.New(t).Equal(v.NotRun+v.Unknown, 0)
}

// Store writes take effect but their answers are lost, during a roll and after a
// home instance is killed.
func TestLostWriteAnswers(t *testing.T) {
	is := is.New(t)
	s := startFleet(t)
	c := startCallers(t, s, 6, bookings)
	c.waitCalls(t, 30)
	before := s.Bundle.Version
	setFaults(t, s.Platform, endpoint.Faults{LoseWrites: 12})
	is.NoErr(s.Roll(t.Context()))
	is.True(s.Bundle.Version > before)
	setFaults(t, s.Platform, endpoint.Faults{LoseWrites: 12})
	s.Routers[0].Kill()
	c.waitRecovery(t, 60)
	stopAndVerify(t, s, c)
}

// silenceConnections makes all open connections to the runners silent for good,
// without closing them. New connections work.
func silenceConnections(t *testing.T, s *scene.Fleet) {
	t.Helper()
	for _, p := range s.Runners {
		setFaults(t, p, endpoint.Faults{Silence: true})
	}
}

// All open connections go silent between calls. The routers have measured the
// duration of each stage, so they detect the silence and retry every call over a
// new connection.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	s := startFleet(t)
	warm := startCallers(t, s, 4, answers)
	warm.waitCalls(t, 120)
	warm.stop()
	silenceConnections(t, s)
	a := startCallers(t, s, 4, answers)
	a.waitCalls(t, 80)
	stopAndVerify(t, s, warm, a)
	for _, c := range []*callerPool{warm, a} {
		notRun, unknown := c.unanswered()
		is.Equal(notRun+unknown, 0)
	}
}

// All open connections go silent while calls are in flight. A call in flight may
// be lost with its connection and is then answered as unknown, never as not run.
// Later calls are answered.
func TestConnectionsGoSilentUnderCalls(t *testing.T) {
	is := is.New(t)
	const callersEach = 6
	s := startFleet(t)
	c := startCallers(t, s, callersEach, bookings)
	a := startCallers(t, s, callersEach, answers)
	a.waitCalls(t, 120)
	silenceConnections(t, s)
	a.waitRecovery(t, 40)
	c.waitRecovery(t, 40)
	v, _ := stopAndVerify(t, s, c, a)
	is.Equal(v.NotRun, 0)
	is.True(v.Unknown <= 2*callersEach) // at most the calls in flight, as the runners go silent one by one
	_, unknown := a.unanswered()
	is.True(unknown <= 2*callersEach)
}

// Stops every router but one, one after the other, under streams that last
// seconds. Each router exits by itself, and every stream is complete.
func TestGracefulShutdownUnderStreams(t *testing.T) {
	is := is.New(t)
	s := startFleet(t)
	c := startCallers(t, s, 6, streams)
	c.waitCalls(t, 6)
	for _, p := range s.Routers[1:] {
		stopRouter(t, p, c)
		c.waitCalls(t, 3)
	}
	c.stop()
	is.Equal(c.transport.cutCalls.Load(), int64(0)) // no stream broke off, not even one that was retried
	stopAndVerify(t, s, c)
	notRun, unknown := c.unanswered()
	is.Equal(notRun+unknown, 0)
}

// Stops every router but one, one after the other, under bookings. Each booking
// is answered, because each router hands over its keys before it exits.
func TestGracefulShutdownUnderBookings(t *testing.T) {
	is := is.New(t)
	s := startFleet(t)
	c := startCallers(t, s, 6, bookings)
	c.waitCalls(t, 30)
	for _, p := range s.Routers[1:] {
		stopRouter(t, p, c)
		c.waitCalls(t, 30)
	}
	c.stop()
	is.Equal(c.transport.cutCalls.Load(), int64(0))
	v, _ := stopAndVerify(t, s, c)
	is.Equal(v.NotRun, 0)
	is.Equal(v.Unknown, 0)
}

// coldDetectionTime bounds the time until the routers detect that a warm runner
// has entered cold start. Its load report lags by half a second.
const coldDetectionTime = time.Second

// A warm engine enters cold start under load. Once the routers can detect that,
// all of them together send it no more work at once than its cold slots.
func TestRunnerTurnsColdUnderLoad(t *testing.T) {
	is := is.New(t)
	s := startFleet(t)
	c := startCallers(t, s, 16, answers)
	c.waitCalls(t, 80)
	coldStartAt := clock.System().Now()
	setFaults(t, s.Runners["generate1"], endpoint.Faults{StartColdStart: true})
	c.callFor(t, 4*time.Second)
	c.waitRecovery(t, 40)
	_, recs := stopAndVerify(t, s, c)
	coldRuns, overloads, earlyOverloads, lastEarly := 0, 0, 0, time.Duration(0)
	for _, rec := range recs {
		if rec.Runner != "generate1" {
			continue
		}
		for _, run := range rec.Runs {
			overloaded := run.Cold && run.Load > rec.ColdSlots
			switch seen := run.At.After(coldStartAt.Add(coldDetectionTime)); {
			case overloaded && seen:
				overloads++
			case overloaded:
				earlyOverloads++
				lastEarly = run.At.Sub(coldStartAt)
			case run.Cold && seen:
				coldRuns++
			}
		}
		t.Logf("runs in cold start %d, above the cold slots %d, and %d before it could be detected, the last after %v; collapses %d",
			coldRuns, overloads, earlyOverloads, lastEarly, rec.Collapses)
	}
	is.True(coldRuns > 0) // the routers sent it work to warm up
	is.Equal(overloads, 0)
}

// Kills a home instance while the store is down. The store recovers later.
func TestKilledHomeInAStoreOutage(t *testing.T) {
	s := startFleet(t)
	c := startCallers(t, s, 8, bookings)
	c.waitCalls(t, 40)
	setFaults(t, s.Platform, endpoint.Faults{Down: true})
	c.waitCalls(t, 20)
	s.Routers[2].Kill()
	c.callFor(t, outageDuration)
	setFaults(t, s.Platform, endpoint.Faults{})
	c.waitRecovery(t, 60)
	stopAndVerify(t, s, c)
}

// Pauses a home instance until its lease has expired, while connections to the
// runners go silent.
func TestPausedHomeAndSilentConnections(t *testing.T) {
	s := startFleet(t)
	c := startCallers(t, s, 8, bookings)
	c.waitCalls(t, 40)
	paused := s.Routers[1]
	paused.Signal(syscall.SIGSTOP)
	c.excluded.Store(paused)
	silenceConnections(t, s)
	c.waitRecovery(t, 100)
	paused.Signal(syscall.SIGCONT)
	c.excluded.Store(nil)
	c.waitRecovery(t, 40)
	stopAndVerify(t, s, c)
}
