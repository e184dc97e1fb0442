package pool

import (
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"github.com/matryer/is"
)

// singleRunnerPools returns pools with one warm runner of a service without
// models.
func singleRunnerPools(clk *clock.Manual, desc bundle.Runner) (*pools, *group) {
	desc.ID, desc.Zone, desc.Service = "r", "z", "s"
	p := New(clk).(*pools)
	p.Update(Topology{
		Runners: []bundle.Runner{desc}, Zone: "z", Self: "a",
		Instances: []string{"a", "b"}, ViewEffective: true,
	})
	clk.Advance(time.Minute)
	p.ReportLoad("r", runnerapi.Load{})
	return p, p.snapshot.Load().groups[groupKey{service: "s"}]
}

func (p *pools) mustAcquire(is *is.I, g *group, req Request) *slot {
	is.Helper()
	pl, err := p.acquireNow(g, &req, p.now())
	is.NoErr(err)
	is.True(pl != nil)
	return pl
}

func serviceRequest(clk clock.Clock, isPaying bool) Request {
	return Request{Service: "s", Team: "t", Paying: isPaying, Deadline: clk.Now().Add(time.Minute)}
}

// runAttempts runs n attempts one after another.
func (p *pools) runAttempts(is *is.I, g *group, n int, res Result) {
	is.Helper()
	for range n {
		p.mustAcquire(is, g, serviceRequest(p.clk, true)).Release(res)
	}
}

func TestLimitGrowsWhileUsedAndFallsOnOverload(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	p, g := singleRunnerPools(clk, bundle.Runner{Slots: 16, ColdSlots: 4, ReportsLoad: true})
	good := Result{Ending: Completed, Latency: 10 * time.Millisecond, Load: &runnerapi.Load{Running: 3}}
	p.runAttempts(is, g, 20, good)
	is.Equal(p.Status()[0].Limit, 8.0) // the even share: nothing used it up
	var held []*slot
	for range 400 {
		req := serviceRequest(clk, true)
		if pl, err := p.acquireNow(g, &req, p.now()); err == nil && pl != nil {
			held = append(held, pl)
			continue
		}
		held[0].Release(good)
		held = held[1:]
	}
	grown := p.Status()[0].Limit
	is.True(grown > 12)
	queued := Result{Ending: Completed, Latency: 10 * time.Millisecond, Load: &runnerapi.Load{Running: 16, Queued: 5}}
	for range 3 {
		held[0].Release(queued)
		held = held[1:]
		clk.Advance(time.Second)
	}
	is.True(p.Status()[0].Limit < grown*0.7)
	is.True(p.Status()[0].Limit >= 8)
}

func TestColdStartSignsReduceLimit(t *testing.T) {
	signs := map[string]Result{
		"report":  {Ending: Completed, Latency: 10 * time.Millisecond, Load: &runnerapi.Load{Cold: true}},
		"refusal": {Ending: Refused, Load: &runnerapi.Load{Cold: true}},
		"failure": {Ending: Failed, Latency: time.Millisecond},
		"latency": {Ending: Completed, Latency: 160 * time.Millisecond},
		"timeout": {Ending: TimedOut, Latency: 160 * time.Millisecond},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clk := clock.NewManual(start)
			p, g := singleRunnerPools(clk, bundle.Runner{Slots: 16, ColdSlots: 2, ReportsLoad: true})
			p.runAttempts(is, g, 20, Result{Ending: Completed, Latency: 10 * time.Millisecond})
			is.Equal(p.Status()[0].Limit, 8.0)
			p.runAttempts(is, g, 1, sign)
			is.Equal(p.Status()[0].Limit, 1.0)
			p.ReportLoad("r", runnerapi.Load{AgeMillis: 5})
			is.True(p.Status()[0].Cold) // the report is older than the sign
			clk.Advance(time.Second)
			p.ReportLoad("r", runnerapi.Load{AgeMillis: 5})
			is.True(!p.Status()[0].Cold)
			is.Equal(p.Status()[0].Limit, 1.0) // the ramp begins
			p.runAttempts(is, g, 20, Result{Ending: Completed, Latency: 10 * time.Millisecond})
			is.Equal(p.Status()[0].Limit, 8.0)
		})
	}
}

func TestShortLatencySpikeIsNoColdStart(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	p, g := singleRunnerPools(clk, bundle.Runner{Slots: 16, ColdSlots: 2, ReportsLoad: true})
	p.runAttempts(is, g, 20, Result{Ending: Completed, Latency: time.Millisecond})
	p.runAttempts(is, g, 1, Result{Ending: Completed, Latency: 90 * time.Millisecond})
	is.True(!p.Status()[0].Cold)
	p.runAttempts(is, g, 1, Result{Ending: Completed, Latency: 300 * time.Millisecond})
	is.True(p.Status()[0].Cold)
}

func TestFreeWorkOverColdLimitIsPreempted(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	p, g := singleRunnerPools(clk, bundle.Runner{Slots: 16, ColdSlots: 2, ReportsLoad: true})
	p.runAttempts(is, g, 20, Result{Ending: Completed, Latency: 10 * time.Millisecond})
	old := p.mustAcquire(is, g, serviceRequest(clk, false))
	unsent := p.mustAcquire(is, g, serviceRequest(clk, false))
	kept := p.mustAcquire(is, g, serviceRequest(clk, true))
	p.ReportLoad("r", runnerapi.Load{Cold: true})
	<-old.Preempted()
	<-unsent.Preempted()
	is.True(fault.Is(unsent.Check(), fault.NoRunner))
	is.True(kept.Preempted() == nil)
}

func TestRequestsThatWouldMissDeadlineAreRefused(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	p, g := singleRunnerPools(clk, bundle.Runner{Slots: 2, ColdSlots: 1, ReportsLoad: true})
	p.runAttempts(is, g, 30, Result{Ending: Completed, Latency: 100 * time.Millisecond})
	late := serviceRequest(clk, true)
	late.Deadline = clk.Now().Add(50 * time.Millisecond)
	_, err := p.acquireNow(g, &late, p.now())
	is.True(fault.Is(err, fault.DeadlineTooShort))

	current := p.mustAcquire(is, g, serviceRequest(clk, true))
	waiters := []*waiter{}
	for range 6 {
		w, err := p.enqueue(g, serviceRequest(clk, true), p.now())
		is.NoErr(err)
		waiters = append(waiters, w)
	}
	for range 3 {
		clk.Advance(100 * time.Millisecond)
		current.Release(Result{Ending: Completed, Latency: 100 * time.Millisecond})
		current = (<-waiters[0].result).slot
		waiters = waiters[1:]
	}
	soon := serviceRequest(clk, true)
	soon.Deadline = clk.Now().Add(350 * time.Millisecond)
	_, err = p.enqueue(g, soon, p.now())
	is.True(fault.Is(err, fault.Overloaded)) // three wait ahead for 100 ms each
	is.True(fault.Of(err).RetryAfter() > 0)
	soon.Deadline = clk.Now().Add(900 * time.Millisecond)
	_, err = p.enqueue(g, soon, p.now())
	is.NoErr(err)
}

func TestFullQueueRefusesTheLongestBacklog(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	p, g := singleRunnerPools(clk, bundle.Runner{Slots: 2, ColdSlots: 1, ReportsLoad: true})
	p.cfg.maxQueue = 4
	p.mustAcquire(is, g, serviceRequest(clk, true))
	var large []*waiter
	for range 4 {
		w, err := p.enqueue(g, serviceRequest(clk, true), p.now())
		is.NoErr(err)
		large = append(large, w)
	}
	_, err := p.enqueue(g, serviceRequest(clk, true), p.now())
	is.True(fault.Is(err, fault.Overloaded))
	small := serviceRequest(clk, true)
	small.Team = "small"
	_, err = p.enqueue(g, small, p.now())
	is.NoErr(err)
	is.True(fault.Is((<-large[3].result).err, fault.Overloaded))
}

// TestFreeWorkYieldsToNewPayingWaiter lets a paying request begin to wait after
// a free request has reserved its slot and before it registers it.
func TestFreeWorkYieldsToNewPayingWaiter(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	p, g := singleRunnerPools(clk, bundle.Runner{Slots: 2, ColdSlots: 1, ReportsLoad: true})
	r := g.members.Load().at(0)
	req := serviceRequest(clk, false)
	a := acquisition{p: p, g: g, req: req, now: p.now()}
	is.True(r.tryReserve(false))
	w, err := p.enqueue(g, serviceRequest(clk, true), p.now())
	is.NoErr(err)
	is.Equal(len(w.result), 0)
	is.True(a.register(&slot{p: p, r: r, g: g}) == nil)
	is.Equal(a.redispatch, r)
	p.dispatch(a.redispatch, p.now())
	is.Equal(len(w.result), 1)
}

func TestRunnerWithoutReportsIsWarmAfterItsWarmup(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	p, g := singleRunnerPools(clk, bundle.Runner{Slots: 8, ColdSlots: 2, WarmupMillis: 3000})
	p.runAttempts(is, g, 1, Result{Ending: Failed})
	res := Result{Ending: Completed, Latency: 10 * time.Millisecond}
	p.runAttempts(is, g, 10, res)
	is.True(p.Status()[0].Cold)
	clk.Advance(3 * time.Second)
	p.runAttempts(is, g, 1, res)
	is.True(!p.Status()[0].Cold)
}

func TestPromptAffinityWithBoundedLoad(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	p := New(clk).(*pools)
	runners := makeRunners(8, 16, 16)
	for i := range runners {
		runners[i].Zone = "zone-0"
	}
	p.Update(singleInstance(runners))
	clk.Advance(time.Minute)
	warmAll(p, runners)
	g := p.snapshot.Load().groups[groupKey{"generate", "m"}]
	req := serviceRequest(clk, true)
	req.Affinity = 12345
	seen := map[string]int{}
	for range 20 {
		pl := p.mustAcquire(is, g, req)
		seen[pl.r.id]++
		pl.Release(Result{Ending: Completed, Latency: time.Millisecond, Load: &runnerapi.Load{}})
	}
	is.Equal(len(seen), 1)
	for range 64 {
		pl := p.mustAcquire(is, g, req)
		seen[pl.r.id]++
	}
	is.True(len(seen) >= 6) // 64 slots, 11 at most on each
	for _, row := range p.Status() {
		is.True(row.InFlight <= 11) // a quarter over the mean of 8, and one
	}
}

func TestColdShareEndsWhenViewExpires(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	p, g := singleRunnerPools(clk, bundle.Runner{Slots: 8, ColdSlots: 4, ReportsLoad: true})
	p.ReportLoad("r", runnerapi.Load{Cold: true})
	p.ExtendView(clk.Now().Add(time.Second))
	pl := p.mustAcquire(is, g, serviceRequest(clk, true))
	is.NoErr(pl.Check())
	clk.Advance(time.Second)
	is.True(fault.Is(pl.Check(), fault.NoRunner))
	w, err := p.enqueue(g, serviceRequest(clk, true), p.now())
	is.NoErr(err)
	is.Equal(len(w.result), 0)
	p.ExtendView(clk.Now().Add(time.Second))
	is.Equal(len(w.result), 1)

	clk.Advance(time.Second)
	desc := *g.members.Load().at(0).desc.Load()
	p.Update(Topology{
		Runners: []bundle.Runner{desc}, Zone: "z", Self: "a", Instances: []string{"a", "b", "c"},
	})
	is.Equal(p.Status()[0].Permits, 0) // views may have been missed
}

func TestGrantedShareWaitsForTheFormerOwnersWork(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	p, g := singleRunnerPools(clk, bundle.Runner{Slots: 8, ColdSlots: 4, ReportsLoad: true})
	p.ReportLoad("r", runnerapi.Load{Cold: true})
	is.Equal(p.Status()[0].Limit, 2.0)
	next := Topology{
		Runners: []bundle.Runner{*g.members.Load().at(0).desc.Load()}, Zone: "z", Self: "a",
		Instances: []string{"a"}, ViewEffective: true,
	}
	p.Update(next)
	is.Equal(p.Status()[0].Limit, 2.0)
	clk.Advance(time.Second)
	p.ReportLoad("r", runnerapi.Load{Cold: true, Running: 1})
	is.Equal(p.Status()[0].Limit, 2.0)
	p.ReportLoad("r", runnerapi.Load{Cold: true, AgeMillis: 1000})
	is.Equal(p.Status()[0].Limit, 2.0) // made before the view was effective
	clk.Advance(time.Millisecond)
	p.ReportLoad("r", runnerapi.Load{Cold: true})
	is.Equal(p.Status()[0].Limit, 4.0)
}

func TestSharesAreResetAfterViewExpired(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	p, g := singleRunnerPools(clk, bundle.Runner{Slots: 8, ColdSlots: 4, ReportsLoad: true})
	p.ReportLoad("r", runnerapi.Load{Cold: true})
	is.Equal(p.Status()[0].Limit, 2.0)
	p.ExtendView(clk.Now().Add(time.Second))
	clk.Advance(2 * time.Second)
	p.ExtendView(clk.Now().Add(time.Hour))
	again := Topology{
		Runners: []bundle.Runner{*g.members.Load().at(0).desc.Load()}, Zone: "z", Self: "a",
		Instances: []string{"a", "b"}, ViewEffective: true, AttemptTimeout: time.Second,
	}
	p.Update(again)
	is.Equal(p.Status()[0].Limit, 0.0) // others may have used the share meanwhile
	clk.Advance(time.Second)
	p.mustAcquire(is, g, serviceRequest(clk, true))
	is.Equal(p.Status()[0].Limit, 2.0)
}

func TestWarmReportFromSameMillisecondIsIgnored(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	p, g := singleRunnerPools(clk, bundle.Runner{Slots: 8, ColdSlots: 4, ReportsLoad: true})
	p.runAttempts(is, g, 1, Result{Ending: Failed})
	clk.Advance(500 * time.Microsecond)
	p.ReportLoad("r", runnerapi.Load{}) // made up to a millisecond ago
	is.True(p.Status()[0].Cold)
	clk.Advance(600 * time.Microsecond)
	p.ReportLoad("r", runnerapi.Load{})
	is.True(!p.Status()[0].Cold)
}

func TestFreeWorkGetsExcludedSlotAfterPayingWaiterIsServed(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	p := New(clk).(*pools)
	runners := makeRunners(5, 1, 1)
	runners = []bundle.Runner{runners[0], runners[4]} // both in zone-0
	p.Update(singleInstance(runners))
	clk.Advance(time.Minute)
	warmAll(p, runners)
	g := p.snapshot.Load().groups[groupKey{"generate", "m"}]
	newRequest := func(isPaying bool, exclude string) Request {
		a := serviceRequest(clk, isPaying)
		a.Service, a.Model, a.Exclude = "generate", "m", []string{exclude}
		return a
	}
	first := p.mustAcquire(is, g, newRequest(true, runners[0].ID))
	paid, err := p.enqueue(g, newRequest(true, runners[0].ID), p.now())
	is.NoErr(err)
	unpaid, err := p.enqueue(g, newRequest(false, ""), p.now())
	is.NoErr(err)
	is.Equal(len(paid.result)+len(unpaid.result), 0)
	first.Release(Result{Ending: Completed, Latency: time.Millisecond})
	is.Equal(len(paid.result), 1)
	is.Equal(len(unpaid.result), 1)
}

func TestShortDeadlineAvoidsRunnerThatTimesOut(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(start)
	p := New(clk).(*pools)
	runners := makeRunners(9, 8, 8)
	runners = []bundle.Runner{runners[0], runners[4], runners[8]} // all in zone-0
	p.Update(singleInstance(runners))
	clk.Advance(time.Minute)
	warmAll(p, runners)
	g := p.snapshot.Load().groups[groupKey{"generate", "m"}]
	req := serviceRequest(clk, true)
	req.Service, req.Model, req.Deadline = "generate", "m", clk.Now().Add(200*time.Millisecond)
	slow := runners[1].ID
	for range 40 {
		pl := p.mustAcquire(is, g, req)
		res := Result{Ending: Completed, Latency: 100 * time.Millisecond, Load: &runnerapi.Load{}}
		if pl.r.id == slow {
			res.Ending, res.Latency = TimedOut, 350*time.Millisecond
		}
		pl.Release(res)
	}
	seen := map[string]int{}
	for range 14 { // the other two have as many slots
		seen[p.mustAcquire(is, g, req).r.id]++
	}
	is.Equal(seen[slow], 0)
	for range 6 {
		seen[p.mustAcquire(is, g, req).r.id]++
	}
	is.True(seen[slow] > 0) // used once the others are full
}
