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

// engine models a runner with continuous batching. Work beyond its slots slows
// down the work that starts then, and work beyond its cold slots restarts a
// cold start.
type engine struct {
	desc bundle.Runner
	clk  clock.Clock

	mu      sync.Mutex
	running int
	// warmAt is when the cold start ends unless work beyond the cold slots
	// restarts it.
	warmAt time.Time
	// latencyFactor multiplies the service time.
	latencyFactor float64
	// maxColdWork is the maximum amount of work in progress during a cold
	// start, without earlyWork. earlyWork counts the work in progress that was
	// sent before the runner turned cold, when no instance could know.
	maxColdWork int
	earlyWork   int
	// started counts the started work, and slowdownSum adds up its slowdowns.
	started     int
	slowdownSum float64
	lastReport  runnerapi.Load
	// reportedAt is when lastReport was made.
	reportedAt time.Time
}

const reportInterval = 200 * time.Millisecond

func (e *engine) cold(now time.Time) bool { return now.Before(e.warmAt) }

func (e *engine) turnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warmAt = e.clk.Now().Add(e.desc.Warmup())
	e.earlyWork = e.running
	e.maxColdWork = 0
}

// begin starts work with the given service time and returns how long it will
// take.
func (e *engine) begin(base time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clk.Now()
	e.running++
	slowdown := max(1, float64(e.running)/float64(e.desc.Slots)) * e.latencyFactor
	e.started++
	e.slowdownSum += slowdown
	if e.cold(now) {
		slowdown *= 2
		e.maxColdWork = max(e.maxColdWork, e.running-max(e.earlyWork, 0))
		if e.running-e.earlyWork > e.desc.ColdSlots {
			e.warmAt = now.Add(e.desc.Warmup())
			slowdown *= 8
		}
	}
	return time.Duration(float64(base) * slowdown)
}

// end records the end of work and returns a load report that may lag.
func (e *engine) end() *runnerapi.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clk.Now()
	e.running--
	e.earlyWork = max(0, e.earlyWork-1)
	return e.cachedReport(now)
}

// cachedReport returns the last report, which is less than reportInterval old,
// or nil if the runner reports no load; e.mu is held.
func (e *engine) cachedReport(now time.Time) *runnerapi.Load {
	if now.Sub(e.reportedAt) >= reportInterval {
		e.reportedAt = now
		e.lastReport = runnerapi.Load{
			Running: min(e.running, e.desc.Slots),
			Queued:  max(0, e.running-e.desc.Slots),
			Cold:    e.cold(now),
		}
	}
	if !e.desc.ReportsLoad {
		return nil
	}
	load := e.lastReport
	load.AgeMillis = now.Sub(e.reportedAt).Milliseconds()
	return &load
}

// pollLoad returns the answer to a poll of the runner.
func (e *engine) pollLoad() *runnerapi.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cachedReport(e.clk.Now())
}

// scenario is the configuration of one run of the model.
type scenario struct {
	name     string
	options  []pool.Option
	budgets  []deadline.Option
	seed     uint64
	duration time.Duration
	// paying and free are the arrival rates as fractions of the capacity.
	paying, free float64
	// burst multiplies the paying arrival rate in the middle fifth of the run;
	// zero means no burst.
	burst float64
	// scale multiplies the number of runners and the arrival rates; zero means
	// 1.
	scale int
	// events change the model in the course of the run.
	events []event
}

// event is a change of the model at a fraction of the run's duration.
type event struct {
	at float64
	do func(m *model)
}

// stages are the stages of the model's pipeline, with their mean service times
// and the slots of each runner.
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
	viewTTL        = time.Second
	// startupPeriod is the time at the start of a run that is left out of the
	// results, since all runners start cold.
	startupPeriod = 4 * time.Second
)

// capacity returns the throughput of the bottleneck stage in requests per
// second.
func capacity() float64 {
	least := math.Inf(1)
	for _, s := range stages {
		least = min(least, float64(s.runners*s.slots)/s.mean.Seconds())
	}
	return least
}

// model is a fleet of instances in front of the runners of three stages.
type model struct {
	sc       scenario
	clk      clock.Clock
	pipeline bundle.Pipeline
	engines  map[string]*engine
	order    []*engine
	topo     pool.Topology
	pools    []pool.Pools
	budgets  []deadline.Budgets
	// killed holds, by index, which instances were killed.
	killed []bool

	mu      sync.Mutex
	outcome outcome
}

// outcome is the result of a run. Arrays are indexed by class: paying, free.
type outcome struct {
	offered, met [2]int
	// runnerSeconds is the total runner time in seconds; wasted is the part spent
	// on requests that had no result in time.
	runnerSeconds, wasted float64
	// expired is the runner time in seconds spent on requests that ran into
	// their deadline.
	expired float64
	// coldExcess is the maximum amount of work that a runner held during a cold
	// start beyond its cold slots and the work it held when it turned cold.
	coldExcess int
	// worstAttainment is the lowest fraction of paying requests of one second
	// that met their deadline.
	worstAttainment float64
	perSecond       map[int]*[2]int
	// refusals counts refusals by class, stage, origin and kind.
	refusals map[string]int
}

func (o outcome) attainment(class int) float64 {
	if o.offered[class] == 0 {
		return 1
	}
	return float64(o.met[class]) / float64(o.offered[class])
}

// expiredFraction returns the fraction of the runner time that was spent on
// requests that ran into their deadline.
func (o outcome) expiredFraction() float64 { return o.expired / o.runnerSeconds }

func newModel(sc scenario) *model {
	m := &model{
		sc: sc, clk: clock.System(), engines: map[string]*engine{},
		pipeline: bundle.Pipeline{ID: "p"}, killed: make([]bool, modelInstances),
	}
	m.outcome.perSecond = map[int]*[2]int{}
	m.outcome.refusals = map[string]int{}
	for _, s := range stages {
		m.pipeline.Stages = append(m.pipeline.Stages, bundle.Stage{Name: s.service, Service: s.service})
		for i := range s.runners * max(1, sc.scale) {
			desc := bundle.Runner{
				ID: fmt.Sprintf("%s-%d", s.service, i), Zone: fmt.Sprintf("zone-%d", i%4),
				Service: s.service, Slots: s.slots, ColdSlots: max(1, s.slots/4),
				WarmupMillis: warmup.Milliseconds(), ReportsLoad: s.service != "encode",
			}
			m.topo.Runners = append(m.topo.Runners, desc)
			e := &engine{desc: desc, clk: m.clk, latencyFactor: 1}
			m.engines[desc.ID] = e
			m.order = append(m.order, e)
		}
	}
	for i := range modelInstances {
		m.topo.Instances = append(m.topo.Instances, fmt.Sprintf("instance-%d", i))
	}
	m.topo.ViewEffective, m.topo.AttemptTimeout = true, modelDeadline
	m.topo.ZonesOut = map[string]bool{}
	for i := range modelInstances {
		m.pools = append(m.pools, pool.New(m.clk, append(sc.options, pool.WithSeed(uint64(i)+1))...))
		m.budgets = append(m.budgets, deadline.New(m.clk, sc.budgets...))
		m.updateTopology(i)
	}
	return m
}

// updateTopology passes the topology to one instance.
func (m *model) updateTopology(i int) {
	t := m.topo
	t.Self = fmt.Sprintf("instance-%d", i)
	t.Zone = fmt.Sprintf("zone-%d", i%4)
	m.pools[i].Update(t)
}

// setZone takes a zone out, or brings it back with its runners cold.
func (m *model) setZone(zone string, out bool) {
	for _, e := range m.order {
		if !out && e.desc.Zone == zone {
			e.turnCold()
		}
	}
	m.topo.ZonesOut = map[string]bool{zone: out}
	for i := range m.pools {
		m.updateTopology(i)
	}
}

// kill ends an instance. The other instances remove it from the view once its
// own view has expired.
func (m *model) kill(i int) {
	m.mu.Lock()
	m.killed[i] = true
	m.mu.Unlock()
	for _, effective := range []bool{false, true} {
		<-m.clk.After(viewTTL)
		if !effective {
			m.topo.Instances = slices.Delete(slices.Clone(m.topo.Instances), i, i+1)
		}
		m.topo.ViewEffective = effective
		for k := range m.pools {
			if k != i {
				m.updateTopology(k)
			}
		}
	}
}

func (m *model) isKilled(i int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.killed[i]
}

// pollAndGossip does the background work of the instances: they poll cold
// runners and exchange digests.
func (m *model) pollAndGossip() {
	for _, p := range m.pools {
		for _, row := range p.Status() {
			if load := m.engines[row.Runner].pollLoad(); row.Cold && !row.Out && load != nil {
				p.ReportLoad(row.Runner, *load)
			}
		}
	}
	since := m.clk.Now().Add(-2 * time.Second)
	for i, from := range m.pools {
		d := from.Digest(since)
		for j, to := range m.pools {
			if i != j {
				to.MergeDigest(d, 0)
			}
		}
	}
}

// run drives the model for the scenario's duration. It must be called inside a
// testing/synctest bubble.
func (m *model) run(ctx context.Context) outcome {
	var wg sync.WaitGroup
	began := m.clk.Now()
	wg.Go(func() {
		for m.clk.Now().Sub(began) < m.sc.duration {
			m.pollAndGossip()
			_ = m.clk.Sleep(ctx, reportInterval)
		}
	})
	for _, ev := range m.sc.events {
		wg.Go(func() {
			_ = m.clk.Sleep(ctx, time.Duration(ev.at*float64(m.sc.duration)))
			ev.do(m)
		})
	}
	_ = m.clk.Sleep(ctx, time.Nanosecond)
	wg.Go(func() { m.generateArrivals(ctx, &wg, 0) })
	wg.Go(func() { m.generateArrivals(ctx, &wg, 1) })
	wg.Wait()
	for _, e := range m.order {
		m.outcome.coldExcess = max(m.outcome.coldExcess, e.maxColdWork-e.desc.ColdSlots)
	}
	m.outcome.worstAttainment = 1
	for second, n := range m.outcome.perSecond {
		if second > 0 && n[0] >= 20 {
			m.outcome.worstAttainment = min(m.outcome.worstAttainment, float64(n[1])/float64(n[0]))
		}
	}
	return m.outcome
}

// generateArrivals starts the requests of a class as an open-loop Poisson
// process.
func (m *model) generateArrivals(ctx context.Context, wg *sync.WaitGroup, class int) {
	rng := rand.New(rand.NewPCG(m.sc.seed, uint64(class)))
	rate := float64(max(1, m.sc.scale)) * capacity() * []float64{m.sc.paying, m.sc.free}[class]
	if rate == 0 {
		return
	}
	began := m.clk.Now()
	for {
		elapsed := m.clk.Now().Sub(began)
		if elapsed >= m.sc.duration {
			return
		}
		now := rate
		if part := float64(elapsed) / float64(m.sc.duration); class == 0 && m.sc.burst > 0 && part > 0.4 && part < 0.6 {
			now *= m.sc.burst
		}
		_ = m.clk.Sleep(ctx, time.Duration(rng.ExpFloat64()/now*float64(time.Second)))
		i := rng.IntN(modelInstances)
		for m.isKilled(i) {
			i = rng.IntN(modelInstances)
		}
		bases := make([]time.Duration, len(stages))
		for k, s := range stages {
			bases[k] = time.Duration(float64(s.mean) * (0.5 + 0.5*rng.ExpFloat64()))
		}
		team := fmt.Sprint("team-", rng.IntN(5))
		wg.Go(func() { m.runRequest(ctx, i, class, team, bases, elapsed) })
	}
}

// runRequest runs one request through all stages.
func (m *model) runRequest(
	ctx context.Context, i, class int, team string, bases []time.Duration, at time.Duration,
) {
	until := m.clk.Now().Add(modelDeadline)
	runnerTime := time.Duration(0)
	ok := true
	for k := range stages {
		took, done := m.runStage(ctx, i, k, class, team, bases[k], until)
		runnerTime += took
		if !done {
			ok = false
			break
		}
	}
	late := !m.clk.Now().Before(until)
	m.mu.Lock()
	defer m.mu.Unlock()
	if at < startupPeriod {
		return
	}
	m.outcome.offered[class]++
	m.outcome.runnerSeconds += runnerTime.Seconds()
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
	m.outcome.wasted += runnerTime.Seconds()
	if late {
		m.outcome.expired += runnerTime.Seconds()
	}
}

func (m *model) countRefusal(class, stage int, by string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := fmt.Sprintf("%s %s %s %s", []string{"paying", "free"}[class], stages[stage].service, by, fault.Of(err).Kind())
	m.outcome.refusals[name]++
}

// runStage runs one stage. It returns the runner time used and whether the
// stage completed.
func (m *model) runStage(
	ctx context.Context, i, k, class int, team string, base time.Duration, until time.Time,
) (time.Duration, bool) {
	began := m.clk.Now()
	waits := time.Duration(0)
	for j := k + 1; j < len(stages); j++ {
		waits += m.pools[i].EstimateWait(stages[j].service, "", class == 0)
	}
	if k == 0 {
		waits = pool.AdmissionReserve(waits, until.Sub(began), class == 0)
	}
	stageUntil, err := m.budgets[i].Plan(m.pipeline, k, began, until.Add(-waits))
	if err != nil {
		m.countRefusal(class, k, "plan", err)
		return 0, false
	}
	pl, err := m.pools[i].Acquire(ctx, pool.Request{
		Service: stages[k].service, Team: team, Paying: class == 0, Deadline: stageUntil,
	})
	if err != nil {
		m.countRefusal(class, k, "pool", err)
		return 0, false
	}
	if pl.Check() != nil {
		pl.Release(pool.Result{Ending: pool.Unsent})
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
	case <-pl.Preempted():
		res.Ending = pool.Cancelled
	}
	res.Latency = m.clk.Now().Sub(sent)
	res.Load = e.end()
	if res.Ending != pool.Completed {
		pl.Release(res)
		return res.Latency, false
	}
	m.budgets[i].Observe(m.pipeline.ID, k, res.Latency)
	pl.Release(res)
	return res.Latency, true
}
