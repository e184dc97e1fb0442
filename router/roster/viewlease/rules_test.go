package viewlease_test

import (
	"testing"
	"time"

	"cicadawell.dev/router/roster/viewlease"
	"github.com/matryer/is"
)

var (
	threeMembers = []viewlease.Member{{ID: "a", Incarnation: "1"}, {ID: "b", Incarnation: "1"}, {ID: "c", Incarnation: "1"}}
	firstView    = viewlease.View{Epoch: 1, Members: threeMembers, Effective: true}
	secondView   = firstView.WithMembers(threeMembers[:2])
)

// member returns the machine of threeMembers[i], which read firstView at origin.
func member(i int) viewlease.Machine {
	m := viewlease.New(threeMembers[i], viewlease.DefaultTiming())
	m.HandleRead(origin, origin, viewlease.ViewRead{View: firstView, Revision: 1})
	return m
}

func after(d time.Duration) time.Time { return origin.Add(d) }

func TestAcknowledgementWaitsForThePromises(t *testing.T) {
	is := is.New(t)
	a := member(0)
	r := a.HandleAsk(after(time.Second), viewlease.PromiseRequest{From: threeMembers[1], Epoch: 1})
	is.True(r.Promised)
	a.HandleRead(after(time.Second), origin, viewlease.ViewRead{View: secondView, Revision: 2})
	ask := viewlease.PromiseRequest{From: threeMembers[1], Epoch: 2}
	is.True(!a.HandleAsk(after(4*time.Second), ask).Acked)
	is.True(a.HandleAsk(after(4100*time.Millisecond), ask).Acked)
	r = a.HandleAsk(after(4100*time.Millisecond), viewlease.PromiseRequest{From: threeMembers[2], Epoch: 1})
	is.True(!r.Promised) // a member that acknowledged no longer promises in the prior epoch
}

func TestPromisesRenewOnlyWithinMaxReadAge(t *testing.T) {
	is := is.New(t)
	limit := viewlease.DefaultTiming().MaxReadAge
	a := member(0)
	for _, at := range []time.Duration{limit, limit + time.Millisecond} {
		ask, _ := a.StartRound(after(at))
		is.True(!a.State(after(at)).HasLease(after(at))) // one promise of three is no majority
		a.HandleReply(after(at), viewlease.PromiseReply{From: threeMembers[1], Round: ask.Round, Epoch: 1, Promised: true})
		is.Equal(a.State(after(at)).HasLease(after(at)), at <= limit)
		a = member(0)
	}
}

func TestLeaseCountsFromTheStartOfTheRead(t *testing.T) {
	is := is.New(t)
	a := viewlease.New(threeMembers[0], viewlease.DefaultTiming())
	a.HandleRead(after(2*time.Second), origin, viewlease.ViewRead{View: firstView, Revision: 1})
	s := a.State(after(2 * time.Second))
	is.True(s.HasLease(after(2999 * time.Millisecond)))
	is.True(!s.HasLease(after(3 * time.Second)))
}

func TestLeaseFromAPeersReadCountsFromItsAge(t *testing.T) {
	is := is.New(t)
	a := viewlease.New(threeMembers[0], viewlease.DefaultTiming())
	age := time.Second
	a.HandleAsk(origin, viewlease.PromiseRequest{From: threeMembers[1], Epoch: 1, View: &firstView})
	ask, _ := a.StartRound(after(time.Second))
	a.HandleReply(after(time.Second), viewlease.PromiseReply{From: threeMembers[1], Round: ask.Round, Epoch: 1, ReadAge: &age})
	s := a.State(after(time.Second))
	is.True(s.HasLease(after(2900 * time.Millisecond)))
	is.True(!s.HasLease(after(3 * time.Second))) // expires before LeaseDuration because of the drift
}

func TestDriftAdjustedWaitOutlastsALease(t *testing.T) {
	is := is.New(t)
	timing := viewlease.DefaultTiming()
	longestLease := float64(timing.LeaseDuration) / (1 - timing.Drift)
	shortestWait := float64(timing.DriftAdjusted(timing.LeaseDuration)) / (1 + timing.Drift)
	is.True(shortestWait >= longestLease)
}

func TestSmallViewDoesNotWaitForMaxReadAge(t *testing.T) {
	is := is.New(t)
	two := viewlease.View{Epoch: 1, Members: threeMembers[:2], Effective: true}
	next := two.WithMembers(threeMembers[1:2])
	b := viewlease.New(threeMembers[1], viewlease.DefaultTiming())
	b.HandleRead(origin, origin, viewlease.ViewRead{View: next, Revision: 2})
	is.True(!b.State(after(3 * time.Second)).Effective)
	is.True(b.State(after(3100 * time.Millisecond)).Effective)
}

func TestLossOfHalfOfAnEvenViewDoesNotWaitForMaxReadAge(t *testing.T) {
	is := is.New(t)
	all := append(append([]viewlease.Member(nil), threeMembers...), viewlease.Member{ID: "d", Incarnation: "1"})
	four := viewlease.View{Epoch: 1, Members: all, Effective: true}
	next := four.WithMembers(all[:2])
	a := viewlease.New(all[0], viewlease.DefaultTiming())
	a.HandleRead(origin, origin, viewlease.ViewRead{View: four, Revision: 1})
	a.HandleRead(origin, origin, viewlease.ViewRead{View: next, Revision: 2})
	late := after(3100 * time.Millisecond)
	is.True(!a.State(late).Effective) // without one of four the others are still a majority of promises
	ask, _ := a.StartRound(late)
	a.HandleReply(late, viewlease.PromiseReply{From: all[1], Round: ask.Round, Epoch: 2, Acked: true})
	is.True(a.State(late).Effective)
}
