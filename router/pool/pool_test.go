package pool

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"github.com/matryer/is"
)

// makeRunners returns n runners of the service "generate", spread over four zones.
func makeRunners(n, slots, coldSlots int) []bundle.Runner {
	list := make([]bundle.Runner, n)
	for i := range list {
		list[i] = bundle.Runner{
			ID: fmt.Sprintf("engine-%03d", i), Zone: fmt.Sprintf("zone-%d", i%4),
			Service: "generate", Models: []string{"m"},
			Slots: slots, ColdSlots: coldSlots, ReportsLoad: true,
		}
	}
	return list
}

// singleInstance returns the topology of a fleet with one instance.
func singleInstance(runners []bundle.Runner) Topology {
	return Topology{
		Runners: runners, Zone: "zone-0", Self: "a", Instances: []string{"a"}, ViewEffective: true,
		AttemptTimeout: time.Millisecond,
	}
}

// warmAll reports each runner as warm.
func warmAll(p Pools, runners []bundle.Runner) {
	for _, r := range runners {
		p.ReportLoad(r.ID, runnerapi.Load{})
	}
}

func payingRequest(within time.Duration) Request {
	return Request{
		Service: "generate", Model: "m", Team: "p", Paying: true,
		Deadline: clock.System().Now().Add(within),
	}
}

func freeRequest(within time.Duration) Request {
	a := payingRequest(within)
	a.Team, a.Paying = "f", false
	return a
}

func TestPayingRequestPreemptsFreeWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New(clock.System())
		runners := makeRunners(1, 2, 1)
		p.Update(singleInstance(runners))
		warmAll(p, runners)
		var held []Slot
		for range 2 {
			pl, err := p.Acquire(t.Context(), freeRequest(time.Second))
			if err != nil {
				break
			}
			held = append(held, pl)
			pl.Release(Result{Ending: Completed, Latency: time.Millisecond, Load: &runnerapi.Load{}})
		}
		is.True(len(held) > 0)
		first, err := p.Acquire(t.Context(), freeRequest(time.Second))
		is.NoErr(err)
		second, err := p.Acquire(t.Context(), payingRequest(time.Second))
		is.NoErr(err) // the headroom
		got := make(chan Slot, 1)
		go func() {
			pl, err := p.Acquire(t.Context(), payingRequest(time.Second))
			is.NoErr(err)
			got <- pl
		}()
		<-first.Preempted()
		is.Equal(len(got), 0)
		first.Release(Result{Ending: Cancelled})
		third := <-got
		is.NoErr(third.Check())
		is.True(second.Preempted() == nil)
		second.Release(Result{Ending: Completed, Latency: time.Millisecond})
		third.Release(Result{Ending: Completed, Latency: time.Millisecond})
		for _, row := range p.Status() {
			is.Equal(row.InFlight, 0)
			is.Equal(row.Queued, 0)
		}
	})
}

func TestRequestWithoutSlotIsRefusedAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New(clock.System())
		p.Update(singleInstance(makeRunners(1, 1, 1)))
		began := clock.System().Now()
		held, err := p.Acquire(t.Context(), payingRequest(time.Second))
		is.NoErr(err)
		is.Equal(clock.System().Now().Sub(began), time.Millisecond) // the share's grant
		began = clock.System().Now()
		_, err = p.Acquire(t.Context(), payingRequest(time.Second))
		is.True(fault.Is(err, fault.Overloaded))
		is.Equal(clock.System().Now().Sub(began), time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = p.Acquire(ctx, payingRequest(time.Second))
		is.True(errors.Is(err, context.Canceled))
		is.Equal(fault.Of(err).Outcome(), fault.NotRun)
		held.Release(Result{Ending: Completed, Latency: time.Millisecond})
	})
}

func TestTakenOutRunnerGetsNoAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New(clock.System())
		runners := makeRunners(2, 4, 4)
		p.Update(singleInstance(runners))
		warmAll(p, runners)
		pl, err := p.Acquire(t.Context(), payingRequest(time.Second))
		is.NoErr(err)
		is.Equal(pl.Runner().Zone, "zone-0")
		next := singleInstance(runners)
		next.ZonesOut = map[string]bool{"zone-0": true}
		p.Update(next)
		is.True(fault.Is(pl.Check(), fault.NoRunner))
		for range 3 {
			other, err := p.Acquire(t.Context(), payingRequest(time.Second))
			is.NoErr(err)
			is.Equal(other.Runner().Zone, "zone-1")
			other.Release(Result{Ending: Unsent})
		}
		pl.Release(Result{Ending: Unsent})
		p.Update(Topology{})
		_, err = p.Acquire(t.Context(), payingRequest(time.Second))
		is.True(fault.Is(err, fault.NoRunner))
	})
}
