package hold_test

import (
	"testing"
	"time"

	"cicadawell.dev/router/roster/hold"
	"github.com/matryer/is"
)

var (
	threeMembers = []hold.Member{{ID: "a", Incarnation: "1"}, {ID: "b", Incarnation: "1"}, {ID: "c", Incarnation: "1"}}
	firstView    = hold.View{Epoch: 1, Members: threeMembers, Effective: true}
	secondView   = firstView.WithMembers(threeMembers[:2])
)

// member returns the machine of threeMembers[i], which read firstView at origin.
func member(i int) hold.Machine {
	m := hold.New(threeMembers[i], hold.DefaultTiming())
	m.HandleRead(origin, origin, hold.ViewRead{View: firstView, Revision: 1})
	return m
}

func after(d time.Duration) time.Time { return origin.Add(d) }

func TestAcknowledgementWaitsForThePromises(t *testing.T) {
	is := is.New(t)
	a := member(0)
	r := a.HandleAsk(after(time.Second), hold.Ask{From: threeMembers[1], Epoch: 1})
	is.True(r.Promised)
	a.HandleRead(after(time.Second), origin, hold.ViewRead{View: secondView, Revision: 2})
	ask := hold.Ask{From: threeMembers[1], Epoch: 2}
	is.True(!a.HandleAsk(after(4*time.Second), ask).Acked)
	is.True(a.HandleAsk(after(4100*time.Millisecond), ask).Acked)
	r = a.HandleAsk(after(4100*time.Millisecond), hold.Ask{From: threeMembers[2], Epoch: 1})
	is.True(!r.Promised) // a member that acknowledged no longer promises in the prior epoch
}

func TestPromisesRenewOnlyWithinMaxReadAge(t *testing.T) {
	is := is.New(t)
	limit := hold.DefaultTiming().MaxReadAge
	a := member(0)
	for _, at := range []time.Duration{limit, limit + time.Millisecond} {
		ask, _ := a.StartRound(after(at))
		is.True(!a.State(after(at)).HasLease(after(at))) // one promise of three is no majority
		a.HandleReply(after(at), hold.Reply{From: threeMembers[1], Round: ask.Round, Epoch: 1, Promised: true})
		is.Equal(a.State(after(at)).HasLease(after(at)), at <= limit)
		a = member(0)
	}
}

func TestLeaseCountsFromTheStartOfTheRead(t *testing.T) {
	is := is.New(t)
	a := hold.New(threeMembers[0], hold.DefaultTiming())
	a.HandleRead(after(2*time.Second), origin, hold.ViewRead{View: firstView, Revision: 1})
	s := a.State(after(2 * time.Second))
	is.True(s.HasLease(after(2999 * time.Millisecond)))
	is.True(!s.HasLease(after(3 * time.Second)))
}

func TestLeaseFromAPeersReadCountsFromItsAge(t *testing.T) {
	is := is.New(t)
	a := hold.New(threeMembers[0], hold.DefaultTiming())
	age := time.Second
	a.HandleAsk(origin, hold.Ask{From: threeMembers[1], Epoch: 1, View: &firstView})
	ask, _ := a.StartRound(after(time.Second))
	a.HandleReply(after(time.Second), hold.Reply{From: threeMembers[1], Round: ask.Round, Epoch: 1, ReadAge: &age})
	s := a.State(after(time.Second))
	is.True(s.HasLease(after(2900 * time.Millisecond)))
	is.True(!s.HasLease(after(3 * time.Second))) // expires before LeaseDuration because of the drift
}

func TestDriftAdjustedWaitOutlastsALease(t *testing.T) {
	is := is.New(t)
	timing := hold.DefaultTiming()
	longestLease := float64(timing.LeaseDuration) / (1 - timing.Drift)
	shortestWait := float64(timing.DriftAdjusted(timing.LeaseDuration)) / (1 + timing.Drift)
	is.True(shortestWait >= longestLease)
}

func TestSmallViewDoesNotWaitForMaxReadAge(t *testing.T) {
	is := is.New(t)
	two := hold.View{Epoch: 1, Members: threeMembers[:2], Effective: true}
	next := two.WithMembers(threeMembers[1:2])
	b := hold.New(threeMembers[1], hold.DefaultTiming())
	b.HandleRead(origin, origin, hold.ViewRead{View: next, Revision: 2})
	is.True(!b.State(after(3 * time.Second)).Effective)
	is.True(b.State(after(3100 * time.Millisecond)).Effective)
}

func TestLossOfHalfOfAnEvenViewDoesNotWaitForMaxReadAge(t *testing.T) {
	is := is.New(t)
	all := append(append([]hold.Member(nil), threeMembers...), hold.Member{ID: "d", Incarnation: "1"})
	four := hold.View{Epoch: 1, Members: all, Effective: true}
	next := four.WithMembers(all[:2])
	a := hold.New(all[0], hold.DefaultTiming())
	a.HandleRead(origin, origin, hold.ViewRead{View: four, Revision: 1})
	a.HandleRead(origin, origin, hold.ViewRead{View: next, Revision: 2})
	late := after(3100 * time.Millisecond)
	is.True(!a.State(late).Effective) // without one of four the others are still a majority of promises
	ask, _ := a.StartRound(late)
	a.HandleReply(late, hold.Reply{From: all[1], Round: ask.Round, Epoch: 2, Acked: true})
	is.True(a.State(late).Effective)
}
