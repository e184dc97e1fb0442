package pool

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// machine drives the pools of one instance through arbitrary sequences of
// events. It calls the parts of Acquire that do not block; the end of a wait is
// an event of its own.
type machine struct {
	clk     *clock.Manual
	p       *pools
	topo    Topology
	held    []*slot
	waiting []*waiter
	// inFlightBefore is the number of slots in use on each runner before the
	// current step.
	inFlightBefore map[string]int64
}

func newMachine(t *rapid.T) *machine {
	m := &machine{clk: clock.NewManual(start)}
	m.p = New(m.clk, WithMaxQueue(6), WithSeed(rapid.Uint64().Draw(t, "seed"))).(*pools)
	m.topo = Topology{
		Zone: "zone-0", Self: "a", Instances: []string{"a", "b"}, ViewEffective: true,
		ZonesOut: map[string]bool{}, Draining: map[string]bool{}, AttemptTimeout: time.Second,
	}
	for i := range 4 {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		m.topo.Runners = append(m.topo.Runners, bundle.Runner{
			ID: fmt.Sprintf("r%d", i), Zone: fmt.Sprintf("zone-%d", i%2),
			Service: "s", Models: [][]string{{"x"}, {"x", "y"}, {"y"}, {"x", "y"}}[i],
			Slots: slots, ColdSlots: rapid.IntRange(1, slots).Draw(t, "coldSlots"),
			ReportsLoad: i != 2, WarmupMillis: 500,
		})
	}
	m.p.Update(m.topo)
	return m
}

func (m *machine) request(t *rapid.T) {
	req := Request{
		Service: "s", Model: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "model"),
		Team:     rapid.SampledFrom([]string{"t0", "t1", "t2"}).Draw(t, "team"),
		Weight:   float64(rapid.IntRange(1, 3).Draw(t, "weight")),
		Paying:   rapid.Bool().Draw(t, "paying"),
		Deadline: m.clk.Now().Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "within")) * time.Millisecond),
		Affinity: rapid.Uint64Range(0, 3).Draw(t, "affinity"),
	}
	if rapid.IntRange(0, 4).Draw(t, "exclude") == 0 {
		req.Exclude = []string{rapid.SampledFrom([]string{"r0", "r1", "r3"}).Draw(t, "excluded")}
	}
	g, now := m.p.snapshot.Load().groups[groupKey{req.Service, req.Model}], m.p.now()
	pl, err := m.p.acquireNow(g, &req, now)
	if err == nil && pl == nil {
		var w *waiter
		if w, err = m.p.enqueue(g, req, now); err == nil {
			m.waiting = append(m.waiting, w)
		}
	}
	if err != nil && fault.Of(err).Outcome() != fault.NotRun {
		t.Fatalf("refused ask counts as run: %v", err)
	}
	if pl != nil {
		m.recordAcquired(t, pl)
	}
}

// recordAcquired checks and records a slot that was acquired without waiting.
func (m *machine) recordAcquired(t *rapid.T, pl *slot) {
	if pl.r.disabled.Load() {
		t.Fatalf("%s was chosen though it is disabled", pl.r.id)
	}
	if pl.r.inFlight.Load() > pl.r.limit.Load() {
		t.Fatalf("%s has %d places of %d", pl.r.id, pl.r.inFlight.Load(), pl.r.limit.Load())
	}
	if err := pl.Check(); err != nil {
		t.Fatalf("a new place fails its check: %v", err)
	}
	if !pl.paying {
		m.checkPayingFirst(t, pl)
	}
	m.held = append(m.held, pl)
}

// checkPayingFirst fails if a paying request waits for a runner on which a free
// request got a slot.
func (m *machine) checkPayingFirst(t *rapid.T, pl *slot) {
	for _, g := range *pl.r.groups.Load() {
		for _, w := range g.queues[payingClass].heap {
			if !slices.Contains(w.req.Exclude, pl.r.id) {
				t.Fatalf("free work took a place on %s for which a paying ask waits", pl.r.id)
			}
		}
	}
}

func (m *machine) release(t *rapid.T) {
	if len(m.held) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.held)-1).Draw(t, "place")
	pl := m.held[i]
	m.held = slices.Delete(m.held, i, i+1)
	res := Result{
		Ending:  Ending(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 3, 4, 5}).Draw(t, "ending")),
		Latency: time.Duration(rapid.IntRange(1, 300).Draw(t, "latency")) * time.Millisecond,
	}
	if pl.Runner().ReportsLoad && rapid.Bool().Draw(t, "withLoad") {
		res.Load = drawLoad(t)
	}
	pl.Release(res)
	if rapid.Bool().Draw(t, "twice") {
		pl.Release(res)
	}
}

func drawLoad(t *rapid.T) *runnerapi.Load {
	return &runnerapi.Load{
		Running:   rapid.IntRange(0, 8).Draw(t, "running"),
		Queued:    rapid.SampledFrom([]int{0, 0, 0, 3}).Draw(t, "queued"),
		Cold:      rapid.IntRange(0, 5).Draw(t, "cold") == 0,
		AgeMillis: int64(rapid.SampledFrom([]int{0, 0, 100, 1000}).Draw(t, "age")),
	}
}

func (m *machine) report(t *rapid.T) {
	m.p.ReportLoad(rapid.SampledFrom([]string{"r0", "r1", "r3"}).Draw(t, "runner"), *drawLoad(t))
}

func (m *machine) cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "waiter")
	w := m.waiting[i]
	m.waiting = slices.Delete(m.waiting, i, i+1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if pl, err := m.p.abandon(w, fault.Wrap(fault.Overloaded, ctx.Err(), "gave up"), true); err == nil {
		t.Fatalf("a cancelled ask got a place on %s", pl.Runner().ID)
	}
}

func (m *machine) update(t *rapid.T) {
	m.topo.ZonesOut = map[string]bool{"zone-1": rapid.IntRange(0, 2).Draw(t, "zoneOut") == 0}
	m.topo.Draining = map[string]bool{"r0": rapid.IntRange(0, 2).Draw(t, "draining") == 0}
	m.topo.Instances = rapid.SampledFrom([][]string{{"a"}, {"a", "b"}, {"b"}}).Draw(t, "view")
	m.topo.ViewEffective = rapid.Bool().Draw(t, "settled")
	m.p.Update(m.topo)
	for _, pl := range m.held {
		zone := pl.Runner().Zone
		disabled := m.topo.ZonesOut[zone] || m.topo.Draining[pl.r.id]
		if disabled && !fault.Is(pl.Check(), fault.NoRunner) {
			t.Fatalf("a place on %s, which is disabled, passes its check", pl.r.id)
		}
	}
}

func (m *machine) advance(t *rapid.T) {
	m.clk.Advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "millis")) * time.Millisecond)
	now := m.p.now()
	for _, g := range m.p.groups {
		m.p.activateGrants(g, now)
	}
	for _, w := range slices.Clone(m.waiting) {
		if now < m.p.latestStart(w, now) {
			continue
		}
		m.waiting = slices.DeleteFunc(m.waiting, func(x *waiter) bool { return x == w })
		pl, err := m.p.abandon(w, fault.New(fault.Overloaded, "late"), false)
		if err == nil {
			m.held = append(m.held, pl.(*slot))
		}
	}
}

// check collects the slots that waiters received and compares the state with
// the model.
func (m *machine) check(t *rapid.T) {
	for _, w := range slices.Clone(m.waiting) {
		select {
		case o := <-w.result:
			m.waiting = slices.DeleteFunc(m.waiting, func(x *waiter) bool { return x == w })
			if o.err == nil {
				m.recordFromQueue(t, o.slot)
			}
		default:
		}
	}
	m.checkTotals(t)
	for _, g := range m.p.groups {
		m.checkQueues(t, g)
	}
}

// recordFromQueue checks and records a slot that a waiter received. It does not
// check the limit, which may have changed later in the same step.
func (m *machine) recordFromQueue(t *rapid.T, pl *slot) {
	if pl.r.disabled.Load() {
		t.Fatalf("%s was given to a waiter though it is disabled", pl.r.id)
	}
	if !pl.paying {
		m.checkPayingFirst(t, pl)
	}
	m.held = append(m.held, pl)
}

func (m *machine) checkTotals(t *rapid.T) {
	count := map[string]int64{}
	for _, pl := range m.held {
		count[pl.r.id]++
	}
	for id, r := range m.p.runners {
		if n := r.inFlight.Load(); n != count[id] {
			t.Fatalf("%s counts %d places, %d are held", id, n, count[id])
		}
		if n, limit := r.inFlight.Load(), r.limit.Load(); n > m.inFlightBefore[id] && n > limit {
			t.Fatalf("%s went from %d to %d places of %d", id, m.inFlightBefore[id], n, limit)
		}
		if r.cold.Load() && r.limit.Load() > int64(r.desc.Load().ColdSlots) {
			t.Fatalf("%s is cold and has a limit of %d", id, r.limit.Load())
		}
	}
	m.inFlightBefore = count
}

func (m *machine) checkQueues(t *rapid.T, g *group) {
	for class := range g.queues {
		if n := g.waiting[class].Load(); n != int64(len(g.queues[class].heap)) {
			t.Fatalf("%v counts %d waiting asks, has %d", g.key, n, len(g.queues[class].heap))
		}
	}
	for _, w := range g.queues[payingClass].heap {
		m.checkPayingWaits(t, g, w)
	}
	for _, w := range g.queues[freeClass].heap {
		for r := range g.members.Load().all {
			if usable(r, w) && !r.hasPayingWaiters() && r.inFlight.Load() < r.freeLimit.Load() &&
				g.waiting[payingClass].Load() == 0 {
				t.Fatalf("a free ask waits though %s has a place", r.id)
			}
		}
	}
}

// checkPayingWaits fails if w waits although a slot is available or could be
// freed by preemption.
func (m *machine) checkPayingWaits(t *rapid.T, g *group, w *waiter) {
	for r := range g.members.Load().all {
		if !usable(r, w) {
			continue
		}
		if r.inFlight.Load() < r.limit.Load() {
			t.Fatalf("a paying ask waits though %s has a place", r.id)
		}
		if w.pendingPreemptions.Load() > 0 {
			continue
		}
		payingWork, preemptible := int64(0), int64(0)
		for _, pl := range m.held {
			if pl.r == r && pl.paying {
				payingWork++
			}
			if pl.r == r && !pl.paying && !pl.preempted {
				preemptible++
			}
		}
		if payingWork < r.limit.Load() && preemptible > 0 {
			t.Fatalf("a paying ask waits though %s holds %d free places", r.id, preemptible)
		}
	}
}

func usable(r *runner, w *waiter) bool {
	return !r.disabled.Load() && !slices.Contains(w.req.Exclude, r.id)
}

func TestPoolsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"ask":     m.request,
			"askMore": m.request,
			"done":    m.release,
			"report":  m.report,
			"cancel":  m.cancel,
			"update":  m.update,
			"advance": m.advance,
			"":        m.check,
		})
	})
}
