package pool_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/deadline"
	"cicadawell.dev/router/pool"
)

// engine models a runner with continuous batching: work beyond its slots
// slows all of it down, and work beyond its cold slots makes a cold start
// begin anew.
type engine struct {
	desc bundle.Runner
	clk  clock.Clock

	mu      sync.Mutex
	running int
	// warmAt is when the cold start ends, if it is not overfed.
	warmAt time.Time
	// factor multiplies the service time.
	factor float64
	// worst is the most work held while cold, over the cold slots; early
	// work, sent before any instance could know, is not counted.
	worst int
	early int
	// begun and slowdown give the mean slowdown.
	begun    int
	slowdown float64
	report   runnerapi.Load
	// reported is when report was made.
	reported time.Time
}

const reportEvery = 200 * time.Millisecond

func (e *engine) cold(now time.Time) bool { return now.Before(e.warmAt) }

func (e *engine) turnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warmAt = e.clk.Now().Add(e.desc.Warmup())
	e.early = e.running
	e.worst = 0
}

// begin admits work and returns how long it will take.
func (e *engine) begin(base time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clk.Now()
	e.running++
	slowdown := max(1, float64(e.running)/float64(e.desc.Slots)) * e.factor
	e.begun++
	e.slowdown += slowdown
	if e.cold(now) {
		slowdown *= 2
		e.worst = max(e.worst, e.running-max(e.early, 0))
		if e.running-e.early > e.desc.ColdSlots {
			e.warmAt = now.Add(e.desc.Warmup())
			slowdown *= 8
		}
	}
	return time.Duration(float64(base) * slowdown)
}

// end records the end of work and returns a lagging report.
func (e *engine) end() *runnerapi.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clk.Now()
	e.running--
	e.early = max(0, e.early-1)
	return e.lagging(now)
}

// lagging returns the last report, made at most reportEvery ago; e.mu is held.
func (e *engine) lagging(now time.Time) *runnerapi.Load {
	if now.Sub(e.reported) >= reportEvery {
		e.reported = now
		e.report = runnerapi.Load{
			Running: min(e.running, e.desc.Slots),
			Queued:  max(0, e.running-e.desc.Slots),
			Cold:    e.cold(now),
		}
	}
	if !e.desc.ReportsLoad {
		return nil
	}
	load := e.report
	load.AgeMillis = now.Sub(e.reported).Milliseconds()
	return &load
}

// load returns what a poll of the runner gives.
func (e *engine) load() *runnerapi.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lagging(e.clk.Now())
}

// scenario is one run of the model.
type scenario struct {
	name    string
	options []pool.Option
	budgets []deadline.Option
	seed    uint64
	length  time.Duration
	// paying and free are arrivals as a part of the capacity.
	paying, free float64
	// burst multiplies the paying arrivals in the middle fifth.
	burst float64
	// size multiplies the runners; zero means 1.
	size int
	// events run at a part of the length.
	events []event
}

type event struct {
	at float64
	do func(m *model)
}

// stages of the model's pipeline: service, mean time, runners and slots.
var stages = []struct {
	service string
	mean    time.Duration
	runners int
	slots   int
}{
	{"encode", 20 * time.Millisecond, 4, 4},
	{"rerank", 50 * time.Millisecond, 5, 6},
	{"generate", 200 * time.Millisecond, 10, 8},
}

const (
	modelDeadline  = time.Second
	modelInstances = 5
	warmup         = 2 * time.Second
	holdTime       = time.Second
	// settling is the time after the start that does not count: all
	// runners begin cold.
	settling = 4 * time.Second
)

// capacity is what the narrowest stage serves in a second.
func capacity() float64 {
	least := math.Inf(1)
	for _, s := range stages {
		least = min(least, float64(s.runners*s.slots)/s.mean.Seconds())
	}
	return least
}

// model is five instances in front of the runners of three stages.
type model struct {
	sc       scenario
	clk      clock.Clock
	pipeline bundle.Pipeline
	engines  map[string]*engine
	order    []*engine
	topo     pool.Topology
	pools    []pool.Pools
	budgets  []deadline.Budgets
	// gone are instances that were killed.
	gone []bool

	mu      sync.Mutex
	outcome outcome
}

// outcome is what a run gave.
type outcome struct {
	offered, met [2]int
	// spent and wasted are runner-seconds, the latter on requests that
	// missed their deadline or were displaced.
	spent, wasted float64
	// missed are runner-seconds on requests that ran into their deadline.
	missed float64
	// overfed is the most work that a cold runner held beyond its cold slots
	// and what it held when it turned cold.
	overfed int
	// dip is the worst attainment of paying requests in a second.
	dip       float64
	perSecond map[int]*[2]int
	// refusals count by class, stage and kind.
	refusals map[string]int
}

func (o outcome) attainment(class int) float64 {
	if o.offered[class] == 0 {
		return 1
	}
	return float64(o.met[class]) / float64(o.offered[class])
}

// late returns the part of the runner-seconds that went to requests that ran
// into their deadline.
func (o outcome) late() float64 { return o.missed / o.spent }

func newModel(sc scenario) *model {
	m := &model{
		sc: sc, clk: clock.System(), engines: map[string]*engine{},
		pipeline: bundle.Pipeline{ID: "p"}, gone: make([]bool, modelInstances),
	}
	m.outcome.perSecond = map[int]*[2]int{}
	m.outcome.refusals = map[string]int{}
	for _, s := range stages {
		m.pipeline.Stages = append(m.pipeline.Stages, bundle.Stage{Name: s.service, Service: s.service})
		for i := range s.runners * max(1, sc.size) {
			desc := bundle.Runner{
				ID: fmt.Sprintf("%s-%d", s.service, i), Zone: fmt.Sprintf("zone-%d", i%4),
				Service: s.service, Slots: s.slots, ColdSlots: max(1, s.slots/4),
				WarmupMillis: warmup.Milliseconds(), ReportsLoad: s.service != "encode",
			}
			m.topo.Runners = append(m.topo.Runners, desc)
			e := &engine{desc: desc, clk: m.clk, factor: 1}
			m.engines[desc.ID] = e
			m.order = append(m.order, e)
		}
	}
	for i := range modelInstances {
		m.topo.Instances = append(m.topo.Instances, fmt.Sprintf("instance-%d", i))
	}
	m.topo.Settled, m.topo.Longest = true, modelDeadline
	m.topo.ZonesOut = map[string]bool{}
	for i := range modelInstances {
		m.pools = append(m.pools, pool.New(m.clk, append(sc.options, pool.WithSeed(uint64(i)+1))...))
		m.budgets = append(m.budgets, deadline.New(m.clk, sc.budgets...))
		m.tell(i)
	}
	return m
}

// tell puts the topology in force at one instance.
func (m *model) tell(i int) {
	t := m.topo
	t.Self = fmt.Sprintf("instance-%d", i)
	t.Zone = fmt.Sprintf("zone-%d", i%4)
	m.pools[i].Update(t)
}

// setZone takes a zone out or brings it back, with its runners cold.
func (m *model) setZone(zone string, out bool) {
	for _, e := range m.order {
		if !out && e.desc.Zone == zone {
			e.turnCold()
		}
	}
	m.topo.ZonesOut = map[string]bool{zone: out}
	for i := range m.pools {
		m.tell(i)
	}
}

// kill ends an instance; the others learn of it when its hold has run out.
func (m *model) kill(i int) {
	m.mu.Lock()
	m.gone[i] = true
	m.mu.Unlock()
	for _, settled := range []bool{false, true} {
		<-m.clk.After(holdTime)
		if !settled {
			m.topo.Instances = slices.Delete(slices.Clone(m.topo.Instances), i, i+1)
		}
		m.topo.Settled = settled
		for k := range m.pools {
			if k != i {
				m.tell(k)
			}
		}
	}
}

// isGone reports whether the instance was killed.
func (m *model) isGone(i int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gone[i]
}

// spread does what instances do beside requests: they poll cold runners and
// exchange digests.
func (m *model) spread() {
	for _, p := range m.pools {
		for _, row := range p.Status() {
			if load := m.engines[row.Runner].load(); row.Cold && !row.Out && load != nil {
				p.Report(row.Runner, *load)
			}
		}
	}
	since := m.clk.Now().Add(-2 * time.Second)
	for i, from := range m.pools {
		d := from.Digest(since)
		for j, to := range m.pools {
			if i != j {
				to.Learn(d, 0)
			}
		}
	}
}

// run drives the model for the scenario's length. It is called inside a
// bubble of testing/synctest.
func (m *model) run(ctx context.Context) outcome {
	var wg sync.WaitGroup
	began := m.clk.Now()
	wg.Go(func() {
		for m.clk.Now().Sub(began) < m.sc.length {
			m.spread()
			_ = m.clk.Sleep(ctx, reportEvery)
		}
	})
	for _, ev := range m.sc.events {
		wg.Go(func() {
			_ = m.clk.Sleep(ctx, time.Duration(ev.at*float64(m.sc.length)))
			ev.do(m)
		})
	}
	_ = m.clk.Sleep(ctx, time.Nanosecond)
	wg.Go(func() { m.arrivals(ctx, &wg, 0) })
	wg.Go(func() { m.arrivals(ctx, &wg, 1) })
	wg.Wait()
	for _, e := range m.order {
		m.outcome.overfed = max(m.outcome.overfed, e.worst-e.desc.ColdSlots)
	}
	m.outcome.dip = 1
	for second, n := range m.outcome.perSecond {
		if second > 0 && n[0] >= 20 {
			m.outcome.dip = min(m.outcome.dip, float64(n[1])/float64(n[0]))
		}
	}
	return m.outcome
}

// arrivals starts the requests of a class, open loop.
func (m *model) arrivals(ctx context.Context, wg *sync.WaitGroup, class int) {
	rng := rand.New(rand.NewPCG(m.sc.seed, uint64(class)))
	rate := float64(max(1, m.sc.size)) * capacity() * []float64{m.sc.paying, m.sc.free}[class]
	if rate == 0 {
		return
	}
	began := m.clk.Now()
	for {
		elapsed := m.clk.Now().Sub(began)
		if elapsed >= m.sc.length {
			return
		}
		now := rate
		if part := float64(elapsed) / float64(m.sc.length); class == 0 && m.sc.burst > 0 && part > 0.4 && part < 0.6 {
			now *= m.sc.burst
		}
		_ = m.clk.Sleep(ctx, time.Duration(rng.ExpFloat64()/now*float64(time.Second)))
		i := rng.IntN(modelInstances)
		for m.isGone(i) {
			i = rng.IntN(modelInstances)
		}
		bases := make([]time.Duration, len(stages))
		for k, s := range stages {
			bases[k] = time.Duration(float64(s.mean) * (0.5 + 0.5*rng.ExpFloat64()))
		}
		team := fmt.Sprint("team-", rng.IntN(5))
		wg.Go(func() { m.request(ctx, i, class, team, bases, elapsed) })
	}
}

// request runs one request through all stages.
func (m *model) request(
	ctx context.Context, i, class int, team string, bases []time.Duration, at time.Duration,
) {
	until := m.clk.Now().Add(modelDeadline)
	spent := time.Duration(0)
	ok := true
	for k := range stages {
		took, done := m.stage(ctx, i, k, class, team, bases[k], until)
		spent += took
		if !done {
			ok = false
			break
		}
	}
	late := !m.clk.Now().Before(until)
	m.mu.Lock()
	defer m.mu.Unlock()
	if at < settling {
		return
	}
	m.outcome.offered[class]++
	m.outcome.spent += spent.Seconds()
	second := int(at / time.Second)
	if m.outcome.perSecond[second] == nil {
		m.outcome.perSecond[second] = &[2]int{}
	}
	if class == 0 {
		m.outcome.perSecond[second][0]++
	}
	if ok && !late {
		m.outcome.met[class]++
		if class == 0 {
			m.outcome.perSecond[second][1]++
		}
		return
	}
	m.outcome.wasted += spent.Seconds()
	if late {
		m.outcome.missed += spent.Seconds()
	}
}

// refused counts a refusal.
func (m *model) refused(class, stage int, by string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := fmt.Sprintf("%s %s %s %s", []string{"paying", "free"}[class], stages[stage].service, by, fault.Of(err).Kind())
	m.outcome.refusals[name]++
}

// stage runs one stage and returns the runner time that it took.
func (m *model) stage(
	ctx context.Context, i, k, class int, team string, base time.Duration, until time.Time,
) (time.Duration, bool) {
	began := m.clk.Now()
	waits := time.Duration(0)
	for j := k + 1; j < len(stages); j++ {
		waits += m.pools[i].Wait(stages[j].service, "", class == 0)
	}
	if k == 0 {
		waits = pool.AdmissionWait(waits, until.Sub(began), class == 0)
	}
	stageUntil, err := m.budgets[i].Plan(m.pipeline, k, began, until.Add(-waits))
	if err != nil {
		m.refused(class, k, "plan", err)
		return 0, false
	}
	pl, err := m.pools[i].Acquire(ctx, pool.Ask{
		Service: stages[k].service, Team: team, Paying: class == 0, Deadline: stageUntil,
	})
	if err != nil {
		m.refused(class, k, "pool", err)
		return 0, false
	}
	if pl.Check() != nil {
		pl.Done(pool.Result{Ending: pool.Unsent})
		return 0, false
	}
	e := m.engines[pl.Runner().ID]
	sent := m.clk.Now()
	need := e.begin(base)
	res := pool.Result{Ending: pool.Completed}
	select {
	case <-m.clk.After(min(need, until.Sub(sent))):
		if need > until.Sub(sent) {
			res.Ending = pool.TimedOut
		}
	case <-pl.Displaced():
		res.Ending = pool.Cancelled
	}
	res.Latency = m.clk.Now().Sub(sent)
	res.Load = e.end()
	if res.Ending != pool.Completed {
		pl.Done(res)
		return res.Latency, false
	}
	m.budgets[i].Observe(m.pipeline.ID, k, res.Latency)
	pl.Done(res)
	return res.Latency, true
}
