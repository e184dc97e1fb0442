package hold_test

import (
	"testing"
	"time"

	"cicadawell.dev/router/roster/hold"
	"github.com/matryer/is"
)

var (
	first  = []hold.Member{{ID: "a", Incarnation: "1"}, {ID: "b", Incarnation: "1"}, {ID: "c", Incarnation: "1"}}
	view   = hold.View{Epoch: 1, Members: first, Settled: true}
	second = view.WithMembers(first[:2])
)

// member returns the machine of first[i], which read view at origin.
func member(i int) hold.Machine {
	m := hold.New(first[i], hold.DefaultTiming())
	m.Read(origin, origin, hold.Read{View: view, Revision: 1})
	return m
}

func after(d time.Duration) time.Time { return origin.Add(d) }

func TestAcknowledgementWaitsForThePromises(t *testing.T) {
	is := is.New(t)
	a := member(0)
	r := a.Asked(after(time.Second), hold.Ask{From: first[1], Epoch: 1})
	is.True(r.Promised)
	a.Read(after(time.Second), origin, hold.Read{View: second, Revision: 2})
	ask := hold.Ask{From: first[1], Epoch: 2}
	is.True(!a.Asked(after(4*time.Second), ask).Acked)
	is.True(a.Asked(after(4100*time.Millisecond), ask).Acked)
	r = a.Asked(after(4100*time.Millisecond), hold.Ask{From: first[2], Epoch: 1})
	is.True(!r.Promised) // acknowledged, hence no promise for the epoch before
}

func TestPromisesRenewOnlyWithinTheLimit(t *testing.T) {
	is := is.New(t)
	limit := hold.DefaultTiming().Limit
	a := member(0)
	for _, at := range []time.Duration{limit, limit + time.Millisecond} {
		ask, _ := a.Round(after(at))
		is.True(!a.State(after(at)).Holds(after(at))) // one of three is no majority
		a.Replied(after(at), hold.Reply{From: first[1], Round: ask.Round, Epoch: 1, Promised: true})
		is.Equal(a.State(after(at)).Holds(after(at)), at <= limit)
		a = member(0)
	}
}

func TestHoldCountsFromTheStartOfTheRead(t *testing.T) {
	is := is.New(t)
	a := hold.New(first[0], hold.DefaultTiming())
	a.Read(after(2*time.Second), origin, hold.Read{View: view, Revision: 1})
	s := a.State(after(2 * time.Second))
	is.True(s.Holds(after(2999 * time.Millisecond)))
	is.True(!s.Holds(after(3 * time.Second)))
}

func TestReadOfAPeerCountsFromItsAge(t *testing.T) {
	is := is.New(t)
	a := hold.New(first[0], hold.DefaultTiming())
	age := time.Second
	a.Asked(origin, hold.Ask{From: first[1], Epoch: 1, View: &view})
	ask, _ := a.Round(after(time.Second))
	a.Replied(after(time.Second), hold.Reply{From: first[1], Round: ask.Round, Epoch: 1, ReadAge: &age})
	s := a.State(after(time.Second))
	is.True(s.Holds(after(2900 * time.Millisecond)))
	is.True(!s.Holds(after(3 * time.Second))) // less than the hold, by the drift
}

func TestWaitsCoverTheDrift(t *testing.T) {
	is := is.New(t)
	timing := hold.DefaultTiming()
	longestHold := float64(timing.Hold) / (1 - timing.Drift)
	shortestWait := float64(timing.Stretch(timing.Hold)) / (1 + timing.Drift)
	is.True(shortestWait >= longestHold)
}

func TestSmallViewDoesNotWaitForTheLimit(t *testing.T) {
	is := is.New(t)
	two := hold.View{Epoch: 1, Members: first[:2], Settled: true}
	next := two.WithMembers(first[1:2])
	b := hold.New(first[1], hold.DefaultTiming())
	b.Read(origin, origin, hold.Read{View: next, Revision: 2})
	is.True(!b.State(after(3 * time.Second)).Effective)
	is.True(b.State(after(3100 * time.Millisecond)).Effective)
}

func TestLossOfHalfOfAnEvenViewDoesNotWaitForTheLimit(t *testing.T) {
	is := is.New(t)
	all := append(append([]hold.Member(nil), first...), hold.Member{ID: "d", Incarnation: "1"})
	four := hold.View{Epoch: 1, Members: all, Settled: true}
	next := four.WithMembers(all[:2])
	a := hold.New(all[0], hold.DefaultTiming())
	a.Read(origin, origin, hold.Read{View: four, Revision: 1})
	a.Read(origin, origin, hold.Read{View: next, Revision: 2})
	late := after(3100 * time.Millisecond)
	is.True(!a.State(late).Effective) // one of four leaves a majority that may promise
	ask, _ := a.Round(late)
	a.Replied(late, hold.Reply{From: all[1], Round: ask.Round, Epoch: 2, Acked: true})
	is.True(a.State(late).Effective)
}
