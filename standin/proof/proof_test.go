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

// The home of a fifth of the keys is killed with bookings under way. Callers
// repeat those whose fate is unknown, also when others have taken the keys over;
// none runs twice, and no refusal is false.
func TestKilledHome(t *testing.T) {
	s := start(t)
	slowBookings(t, s)
	c := call(t, s, 24, insisted)
	c.more(t, 60)
	s.Routers[1].Kill()
	c.more(t, 60)
	c.recovered(t, 200)
	judge(t, s, c)
}

// A home is paused with bookings under way until the others have taken its keys
// over, and then goes on as if nothing had been.
func TestPausedHome(t *testing.T) {
	s := start(t)
	slowBookings(t, s)
	c := call(t, s, 24, insisted)
	c.more(t, 60)
	paused := s.Routers[1]
	paused.Signal(syscall.SIGSTOP)
	c.avoided.Store(paused)
	c.recovered(t, 200)
	paused.Signal(syscall.SIGCONT)
	c.avoided.Store(nil)
	c.recovered(t, 60)
	judge(t, s, c)
}

// outage is how long the store is away: several times as long as a hold lasts.
const outage = 10 * time.Second

// The store is down for several times as long as a hold lasts.
func TestStoreDown(t *testing.T) {
	s := start(t)
	c := call(t, s, 6, bookings)
	a := call(t, s, 4, answers)
	c.more(t, 30)
	put(t, s.Platform, endpoint.Faults{Down: true})
	c.during(t, outage)
	put(t, s.Platform, endpoint.Faults{})
	c.recovered(t, 30)
	v, _ := judge(t, s, c, a)
	notRun, unknown := a.unanswered()
	is := is.New(t)
	is.Equal(notRun+unknown, 0) // requests that may be repeated do not need the store
	is.Equal(v.NotRun+v.Unknown, 0)
}

// Each call to the store takes longer than callers of it wait.
func TestStoreSlow(t *testing.T) {
	s := start(t)
	c := call(t, s, 6, bookings)
	c.more(t, 30)
	put(t, s.Platform, endpoint.Faults{SlowMillis: 3000})
	c.during(t, outage)
	put(t, s.Platform, endpoint.Faults{})
	c.recovered(t, 30)
	judge(t, s, c)
}

// Writes to the store take effect while their answers are lost, during a roll
// and the death of a home.
func TestLostWriteAnswers(t *testing.T) {
	is := is.New(t)
	s := start(t)
	c := call(t, s, 6, bookings)
	c.more(t, 30)
	before := s.Bundle.Version
	put(t, s.Platform, endpoint.Faults{LoseWrites: 12})
	is.NoErr(s.Roll(t.Context()))
	is.True(s.Bundle.Version > before)
	put(t, s.Platform, endpoint.Faults{LoseWrites: 12})
	s.Routers[0].Kill()
	c.recovered(t, 60)
	judge(t, s, c)
}

// silence makes all open connections to the runners silent for good, while new
// ones work.
func silence(t *testing.T, s *scene.Scene) {
	t.Helper()
	for _, p := range s.Runners {
		put(t, p, endpoint.Faults{Silence: true})
	}
}

// All open connections go silent between calls. The routers have measured how
// long each stage takes: every call is tried again over a new connection.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	s := start(t)
	warm := call(t, s, 4, answers)
	warm.more(t, 120)
	warm.stop()
	silence(t, s)
	a := call(t, s, 4, answers)
	a.more(t, 80)
	judge(t, s, warm, a)
	for _, c := range []*callers{warm, a} {
		notRun, unknown := c.unanswered()
		is.Equal(notRun+unknown, 0)
	}
}

// All open connections go silent with calls under way. What was under way may
// be lost with its connection, and is then not called "not run"; what comes
// after is answered.
func TestConnectionsGoSilentUnderCalls(t *testing.T) {
	is := is.New(t)
	const each = 6
	s := start(t)
	c := call(t, s, each, bookings)
	a := call(t, s, each, answers)
	a.more(t, 120)
	silence(t, s)
	a.recovered(t, 40)
	c.recovered(t, 40)
	v, _ := judge(t, s, c, a)
	is.Equal(v.NotRun, 0)
	is.True(v.Unknown <= 2*each) // at most those under way, as the runners go silent one by one
	_, unknown := a.unanswered()
	is.True(unknown <= 2*each)
}

// Every router but one is told to stop, one after the other, under streams
// that last seconds. Each ends by itself, and every stream is whole.
func TestGracefulShutdownUnderStreams(t *testing.T) {
	is := is.New(t)
	s := start(t)
	c := call(t, s, 6, streams)
	c.more(t, 6)
	for _, p := range s.Routers[1:] {
		retire(t, p, c)
		c.more(t, 3)
	}
	c.stop()
	is.Equal(c.wire.cut.Load(), int64(0)) // no stream broke off, not even one that was repeated
	judge(t, s, c)
	notRun, unknown := c.unanswered()
	is.Equal(notRun+unknown, 0)
}

// Every router but one is told to stop, one after the other, under bookings.
// Each booking is answered: the keys of each home pass on.
func TestGracefulShutdownUnderBookings(t *testing.T) {
	is := is.New(t)
	s := start(t)
	c := call(t, s, 6, bookings)
	c.more(t, 30)
	for _, p := range s.Routers[1:] {
		retire(t, p, c)
		c.more(t, 30)
	}
	c.stop()
	is.Equal(c.wire.cut.Load(), int64(0))
	v, _ := judge(t, s, c)
	is.Equal(v.NotRun, 0)
	is.Equal(v.Unknown, 0)
}

// detection is how long the routers may take to see that a runner that was
// warm is in cold start: its load report lags by half a second.
const detection = time.Second

// A warm engine turns cold under load. Once that can be seen, it is given no
// more work than it bears, by all routers together.
func TestRunnerTurnsColdUnderLoad(t *testing.T) {
	is := is.New(t)
	s := start(t)
	c := call(t, s, 16, answers)
	c.more(t, 80)
	turned := clock.System().Now()
	put(t, s.Runners["generate1"], endpoint.Faults{TurnCold: true})
	c.during(t, 4*time.Second)
	c.recovered(t, 40)
	_, recs := judge(t, s, c)
	cold, over, early, last := 0, 0, 0, time.Duration(0)
	for _, rec := range recs {
		if rec.Runner != "generate1" {
			continue
		}
		for _, run := range rec.Runs {
			tooMuch := run.Cold && run.Load > rec.ColdSlots
			switch seen := run.At.After(turned.Add(detection)); {
			case tooMuch && seen:
				over++
			case tooMuch:
				early++
				last = run.At.Sub(turned)
			case run.Cold && seen:
				cold++
			}
		}
		t.Logf("runs in cold start %d, over what it bears %d, and %d before it could be seen, the last after %v; collapses %d",
			cold, over, early, last, rec.Collapses)
	}
	is.True(cold > 0) // it was given work to get warm
	is.Equal(over, 0)
}

// A home is killed while the store is down; the store comes back later.
func TestKilledHomeInAStoreOutage(t *testing.T) {
	s := start(t)
	c := call(t, s, 8, bookings)
	c.more(t, 40)
	put(t, s.Platform, endpoint.Faults{Down: true})
	c.more(t, 20)
	s.Routers[2].Kill()
	c.during(t, outage)
	put(t, s.Platform, endpoint.Faults{})
	c.recovered(t, 60)
	judge(t, s, c)
}

// A home is paused past its hold while connections to the service go silent.
func TestPausedHomeAndSilentConnections(t *testing.T) {
	s := start(t)
	c := call(t, s, 8, bookings)
	c.more(t, 40)
	paused := s.Routers[1]
	paused.Signal(syscall.SIGSTOP)
	c.avoided.Store(paused)
	silence(t, s)
	c.recovered(t, 100)
	paused.Signal(syscall.SIGCONT)
	c.avoided.Store(nil)
	c.recovered(t, 40)
	judge(t, s, c)
}
