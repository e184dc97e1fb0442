package ledger_test

import (
	"context"
	"testing"
	"time"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/roster/viewlease"
	"github.com/matryer/is"
)

var (
	memberA = viewlease.Member{ID: "a", Incarnation: "1"}
	memberB = viewlease.Member{ID: "b", Incarnation: "1"}
)

// scriptedRoster is a roster whose state the test sets.
type scriptedRoster struct {
	state   viewlease.State
	changed func()
}

func (s *scriptedRoster) State() viewlease.State { return s.state }

func (s *scriptedRoster) Subscribe(changed func()) { s.changed = changed }

// setHome puts a view with a single member in effect, and renews the lease of a
// now.
func (s *scriptedRoster) setHome(now time.Time, epoch uint64, member, prior viewlease.Member) {
	v := viewlease.View{Epoch: epoch, Members: []viewlease.Member{member}, Prior: []viewlease.Member{prior}, Effective: true}
	s.state = viewlease.State{Self: memberA, View: v, Effective: true, EffectiveAt: now, LeaseStart: now, LeaseDuration: 3 * time.Second}
	s.changed()
}

// startOne returns the ledger of instance a with its roster, clock and runner.
func startOne(t *testing.T) (ledger.ManagedLedger, *scriptedRoster, *clock.Manual, *hookRunner) {
	t.Helper()
	clk, r, p := clock.NewManual(start), &scriptedRoster{}, &hookRunner{}
	meshes := make(map[string]*localMesh)
	l := ledger.New(ledger.WithID("a"), ledger.WithClock(clk), ledger.WithRoster(r), ledger.WithExecutor(p),
		ledger.WithMesh(newLocalMesh(meshes, "a")), ledger.WithSkew(200*time.Millisecond, 100*time.Millisecond), ledger.WithSettleTimeout(0))
	t.Cleanup(l.Close)
	return l, r, clk, p
}

// hookRunner is a runner that calls a hook before the guard.
type hookRunner struct {
	beforeGuard func()
	runs        int
}

func (p *hookRunner) RunOnce(_ context.Context, _ ledger.Call, guard func() error) (callerapi.Response, error) {
	if p.beforeGuard != nil {
		p.beforeGuard()
	}
	if err := guard(); err != nil {
		return callerapi.Response{}, err
	}
	p.runs++
	return callerapi.Response{}, nil
}

// doCall sends one call and returns its error.
func doCall(t *testing.T, l ledger.ManagedLedger, key string) *fault.Error {
	t.Helper()
	call := callOf("t", key, "x")
	_, _, err := l.Do(t.Context(), call)
	return fault.Of(err)
}

func TestHomePausedPastItsLeaseDoesNotRun(t *testing.T) {
	is := is.New(t)
	l, r, clk, p := startOne(t)
	r.setHome(start, 1, memberA, viewlease.Member{})
	p.beforeGuard = func() { clk.Advance(3 * time.Second) }
	e := doCall(t, l, keyAt(start, 1))
	is.Equal(e.Outcome(), fault.NotRun)
	is.Equal(p.runs, 0)
	e = doCall(t, l, keyAt(start, 2)) // the lease expired before the call
	is.Equal(e.Kind(), fault.HomeUnsettled)
	is.Equal(p.runs, 0)
}

func TestCallDoesNotRunAfterItsSlotWasLostAndRegained(t *testing.T) {
	is := is.New(t)
	l, r, clk, p := startOne(t)
	r.setHome(start, 1, memberA, viewlease.Member{})
	p.beforeGuard = func() {
		r.setHome(clk.Now(), 2, memberB, memberA)
		r.setHome(clk.Now(), 3, memberA, memberB)
	}
	e := doCall(t, l, keyAt(start, 1))
	is.Equal(e.Outcome(), fault.NotRun)
	is.Equal(p.runs, 0)
}

func TestOutcomeOfKeysMintedBeforeATakeoverIsUnknown(t *testing.T) {
	const margin = 400 * time.Millisecond
	for name, test := range map[string]struct {
		epoch  uint64
		prior  viewlease.Member
		minted time.Duration
		want   fault.Kind
	}{
		"minted before":           {2, memberB, -time.Minute, fault.OutcomeUnknown},
		"minted within the skews": {2, memberB, margin, fault.OutcomeUnknown},
		"minted after":            {2, memberB, margin + time.Millisecond, ""},
		"home throughout":         {2, memberA, -time.Minute, ""},
		"one view missed":         {3, memberA, -time.Minute, ""},
		"two views missed":        {4, memberA, -time.Minute, fault.OutcomeUnknown},
		"gained in a view missed": {3, memberB, -time.Minute, fault.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, r, clk, _ := startOne(t)
			r.setHome(start.Add(-time.Hour), 1, memberA, viewlease.Member{})
			r.setHome(start, test.epoch, memberA, test.prior)
			clk.Advance(2500 * time.Millisecond) // no handover arrived
			e := doCall(t, l, keyAt(start.Add(test.minted), 1))
			if test.want == "" {
				is.True(e == nil)
				return
			}
			is.Equal(e.Kind(), test.want)
			is.Equal(e.Outcome(), fault.Unknown)
		})
	}
}

func TestKeysMintedBeforeATakeoverAreRefusedWhileTheHandoverIsAwaited(t *testing.T) {
	is := is.New(t)
	l, r, clk, p := startOne(t)
	r.setHome(start.Add(-time.Hour), 1, memberB, viewlease.Member{})
	r.setHome(start, 2, memberA, memberB)
	clk.Advance(time.Second)
	e := doCall(t, l, keyAt(start, 1))
	is.Equal(e.Kind(), fault.HomeUnsettled)
	is.Equal(e.Outcome(), fault.NotRun)
	is.Equal(p.runs, 0)
}
