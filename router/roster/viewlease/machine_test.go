package viewlease_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"cicadawell.dev/fleet/property"
	"cicadawell.dev/router/roster/viewlease"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { property.Main(m, 1500) }

// timing is the timing of the simulations. Half of them also set a larger clock
// drift than real clocks have.
var timing = viewlease.Timing{
	LeaseDuration: 3 * time.Second, MaxReadAge: 9 * time.Second,
	ProposalStagger: 300 * time.Millisecond, ReplyGrace: 3 * time.Second,
}

const largeDrift = 0.2

const (
	members         = 5
	roundInterval   = time.Second
	readInterval    = 2 * time.Second
	registrationTTL = 4 * time.Second
	// maxNodes bounds the members together with superseded incarnations.
	maxNodes = 8
	// checkedSlots is the number of slots checked for two homes.
	checkedSlots = 24
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation runs five members against one store. Its time is the true time,
// from which each member's clock may drift.
type simulation struct {
	timing viewlease.Timing
	t      *rapid.T
	now    time.Duration
	// nodes are the members, followed by superseded incarnations that still run.
	nodes   []*node
	events  []event
	store   store
	blocked map[[2]int]bool
	// faultsOff is true once no new faults are injected.
	faultsOff bool
	// effective is the newest epoch that any member, also a crashed one, has
	// found to be in effect.
	effective uint64
}

type event struct {
	at  time.Duration
	run func()
}

type store struct {
	view     viewlease.View
	revision uint64
	// renewedAt is when each registration was last renewed.
	renewedAt map[viewlease.Member]time.Duration
}

// node is one member together with a simulated driver.
type node struct {
	index       int
	self        viewlease.Member
	machine     viewlease.Machine
	clockRate   float64
	pausedUntil time.Duration
	storeCut    bool
	// generation is the number of the incarnation. Events scheduled for another
	// incarnation are discarded.
	generation int
	leaving    bool
	// superseded is true for an older incarnation that still runs.
	superseded bool
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, timing: timing, blocked: make(map[[2]int]bool), store: store{renewedAt: make(map[viewlease.Member]time.Duration)}}
	if rapid.Bool().Draw(t, "drift") {
		w.timing.Drift = largeDrift
	}
	for i := range members {
		n := &node{index: i}
		w.nodes = append(w.nodes, n)
		w.restart(n)
	}
	return w
}

func (w *simulation) restart(n *node) {
	n.generation++
	n.leaving = false
	n.pausedUntil = 0
	n.self = viewlease.Member{ID: string(rune('a' + n.index)), Incarnation: strconv.Itoa(n.generation)}
	n.machine = viewlease.New(n.self, w.timing)
	n.clockRate = 1 + w.timing.Drift*float64(rapid.IntRange(-1, 1).Draw(w.t, "rate"))
	w.every(n, roundInterval, w.startRound)
	w.every(n, readInterval, w.read)
}

// replace starts a new incarnation while the old one still runs.
func (w *simulation) replace(n *node) {
	if len(w.nodes) == maxNodes || n.superseded {
		return
	}
	old := *n
	old.index = len(w.nodes)
	old.superseded = true
	old.generation = -n.generation
	w.nodes = append(w.nodes, &old)
	w.every(&old, roundInterval, w.startRound)
	w.every(&old, readInterval, w.read)
	w.restart(n)
}

// localTime returns the time by the member's clock.
func (w *simulation) localTime(n *node) time.Time {
	return origin.Add(time.Duration(float64(w.now) * n.clockRate))
}

func (w *simulation) schedule(d time.Duration, run func()) {
	w.events = append(w.events, event{w.now + d, run})
}

// scheduleOn schedules an event of a member. The event is discarded if another
// incarnation has started by then, and delayed while the member is paused.
func (w *simulation) scheduleOn(n *node, d time.Duration, run func()) {
	generation := n.generation
	var attempt func()
	attempt = func() {
		switch {
		case n.generation != generation:
		case n.pausedUntil > w.now:
			w.events = append(w.events, event{n.pausedUntil, attempt})
		default:
			run()
			w.propose(n)
			w.check()
		}
	}
	w.schedule(d, attempt)
}

func (w *simulation) every(n *node, period time.Duration, run func(*node)) {
	phase := time.Duration(rapid.IntRange(0, 1000).Draw(w.t, "phase")) * time.Millisecond
	w.scheduleOn(n, phase, func() {
		run(n)
		w.repeat(n, period, run)
	})
}

func (w *simulation) repeat(n *node, period time.Duration, run func(*node)) {
	w.scheduleOn(n, period, func() {
		run(n)
		w.repeat(n, period, run)
	})
}

// latency draws the duration of a message or a call.
func (w *simulation) latency() time.Duration {
	if !w.faultsOff && rapid.IntRange(0, 9).Draw(w.t, "slow") == 0 {
		return time.Duration(rapid.IntRange(1, 6000).Draw(w.t, "latency")) * time.Millisecond
	}
	return time.Millisecond
}

// drawLoss draws whether a message is lost.
func (w *simulation) drawLoss() bool {
	return !w.faultsOff && rapid.IntRange(0, 19).Draw(w.t, "lost") == 0
}

// connected reports whether messages pass in this direction.
func (w *simulation) connected(from, to int) bool { return !w.blocked[[2]int{from, to}] }

func (w *simulation) startRound(n *node) {
	ask, targets := n.machine.StartRound(w.localTime(n))
	for _, target := range targets {
		i := slices.IndexFunc(w.nodes, func(other *node) bool { return other.self == target })
		if i >= 0 {
			other := w.nodes[i]
			w.deliver(n, other, func() {
				reply := other.machine.HandleAsk(w.localTime(other), ask)
				w.deliver(other, n, func() { n.machine.HandleReply(w.localTime(n), reply) })
			})
		}
	}
}

// deliver sends a message from one member to another. The message may be
// delayed, duplicated or lost.
func (w *simulation) deliver(from, to *node, receive func()) {
	if !w.connected(from.index, to.index) || w.drawLoss() {
		return
	}
	w.scheduleOn(to, w.latency(), receive)
	if !w.faultsOff && rapid.IntRange(0, 19).Draw(w.t, "twice") == 0 {
		w.scheduleOn(to, w.latency(), receive)
	}
}

// read renews the registration and reads the view and the registrations.
func (w *simulation) read(n *node) {
	start := w.localTime(n)
	w.callStore(n, func() func() {
		if !n.superseded && (!n.leaving || slices.Contains(w.store.view.Members, n.self)) {
			w.store.renewedAt[n.self] = w.now
		}
		r := viewlease.ViewRead{View: w.store.view, Revision: w.store.revision}
		registrations := w.registrations()
		return func() {
			n.machine.SetRegistrations(w.localTime(n), registrations)
			n.machine.HandleRead(w.localTime(n), start, r)
		}
	}, nil)
}

func (w *simulation) registrations() []viewlease.Registration {
	var all []viewlease.Registration
	for _, n := range w.nodes {
		if at, ok := w.store.renewedAt[n.self]; ok && !n.superseded && w.now-at < registrationTTL {
			all = append(all, viewlease.Registration{Member: n.self, Leaving: n.leaving})
		}
	}
	return all
}

// callStore runs apply at the store after a delay, and the function that apply
// returns when the answer arrives. The call or its answer may be lost, in which
// case lost runs.
func (w *simulation) callStore(n *node, apply func() func(), lost func()) {
	reportLost := func() {
		if lost != nil {
			w.scheduleOn(n, w.latency(), lost)
		}
	}
	if n.storeCut || w.drawLoss() {
		reportLost()
		return
	}
	w.schedule(w.latency(), func() {
		answer := apply()
		w.check()
		if n.storeCut || w.drawLoss() {
			reportLost()
			return
		}
		w.scheduleOn(n, w.latency(), answer)
	})
}

func (w *simulation) propose(n *node) {
	write, ok := n.machine.Propose(w.localTime(n))
	if !ok {
		return
	}
	end := func(r viewlease.WriteResult) func() {
		return func() { n.machine.HandleWriteResult(w.localTime(n), write, r) }
	}
	w.callStore(n, func() func() {
		if w.store.revision != write.IfRevision {
			return end(viewlease.Conflict)
		}
		if write.View.Epoch > w.store.view.Epoch {
			w.disruptWrite()
		}
		w.store.view = write.View
		w.store.revision++
		return end(viewlease.Written)
	}, end(viewlease.OutcomeUnknown))
}

// run advances the true time by d and runs the events due by then.
func (w *simulation) run(d time.Duration) {
	end := w.now + d
	for {
		next := -1
		for i, e := range w.events {
			if e.at <= end && (next < 0 || e.at < w.events[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		e := w.events[next]
		w.events = slices.Delete(w.events, next, next+1)
		w.now = max(w.now, e.at)
		e.run()
	}
	w.now = end
	w.check()
	w.checkHomes()
}

// check fails if a member has a valid lease on an epoch older than the one in
// effect.
func (w *simulation) check() {
	var states [maxNodes]viewlease.State
	for i, n := range w.nodes {
		states[i] = n.machine.State(w.localTime(n))
		if states[i].Effective {
			w.effective = max(w.effective, states[i].View.Epoch)
		}
	}
	for i, s := range states[:len(w.nodes)] {
		if s.View.Epoch < w.effective && s.HasLease(w.localTime(w.nodes[i])) {
			w.t.Fatalf("at %v %v has a valid lease on epoch %d while %d is in effect", w.now, s.Self, s.View.Epoch, w.effective)
		}
	}
}

// checkHomes fails if two members may serve one slot as its home. It returns the number
// of slots that have a home.
func (w *simulation) checkHomes() (homes int) {
	for slot := range viewlease.Slot(checkedSlots) {
		var acting []viewlease.Member
		for _, n := range w.nodes {
			if n.machine.State(w.localTime(n)).MayServe(w.localTime(n), slot) {
				acting = append(acting, n.self)
			}
		}
		if len(acting) > 1 {
			w.t.Fatalf("at %v slot %d has homes %v", w.now, slot, acting)
		}
		homes += len(acting)
	}
	return homes
}

// injectFault redraws the blocked links and injects at most one other fault.
func (w *simulation) injectFault() {
	w.redrawLinks()
	n := w.drawNode()
	switch rapid.IntRange(0, 5).Draw(w.t, "fault") {
	case 0:
		w.restart(n)
	case 1:
		n.pausedUntil = w.now + time.Duration(rapid.IntRange(1, 12).Draw(w.t, "pause"))*time.Second
	case 2, 3:
		n.leaving = true
	case 4:
		w.replace(n)
	}
}

// disruptWrite redraws the blocked links while a new view is being written, and
// again soon after.
func (w *simulation) disruptWrite() {
	if w.faultsOff || rapid.Bool().Draw(w.t, "spare") {
		return
	}
	w.redrawLinks()
	w.schedule(time.Duration(rapid.IntRange(1, 1500).Draw(w.t, "again"))*time.Millisecond, func() {
		if !w.faultsOff {
			w.redrawLinks()
		}
	})
}

// redrawLinks draws which members can reach the store and each other.
func (w *simulation) redrawLinks() {
	switch rapid.IntRange(0, 4).Draw(w.t, "cuts") {
	case 0:
		w.heal()
	case 1:
		w.partition()
	case 2, 3:
		w.isolate(w.drawNode())
	case 4:
		w.blocked[[2]int{w.drawNode().index, w.drawNode().index}] = true
	}
	if rapid.Bool().Draw(w.t, "storeCuts") {
		for _, n := range w.nodes {
			n.storeCut = rapid.Bool().Draw(w.t, "storeCut")
		}
	}
}

// partition divides the members into two groups that cannot reach each other.
func (w *simulation) partition() {
	side := make([]bool, len(w.nodes))
	for i := range side {
		side[i] = rapid.Bool().Draw(w.t, "side")
	}
	for i := range w.nodes {
		for j := range w.nodes {
			w.blocked[[2]int{i, j}] = side[i] != side[j]
		}
	}
}

func (w *simulation) isolate(n *node) {
	w.heal()
	n.storeCut = true
	for i := range w.nodes {
		w.blocked[[2]int{i, n.index}] = true
		w.blocked[[2]int{n.index, i}] = true
	}
}

func (w *simulation) drawNode() *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, "node")]
}

func (w *simulation) heal() {
	clear(w.blocked)
	for _, n := range w.nodes {
		n.storeCut = false
	}
}

// checkRecovery ends all faults, runs for longer than a change of the view in
// progress and a further one can take, and then expects a home for each slot.
func (w *simulation) checkRecovery() {
	w.faultsOff = true
	w.heal()
	w.nodes = w.nodes[:members]
	for _, n := range w.nodes {
		n.pausedUntil = 0
		if n.leaving {
			w.restart(n)
		}
	}
	w.run(4 * (timing.LeaseDuration + timing.MaxReadAge + registrationTTL))
	if homes := w.checkHomes(); homes != checkedSlots {
		for _, n := range w.nodes {
			w.t.Logf("%+v", n.machine.State(w.localTime(n)))
		}
		w.t.Fatalf("%d of %d slots have a home after all faults ended; store %+v", homes, checkedSlots, w.store.view)
	}
}

func TestNoLeaseOnASupersededEpochProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.faultsOff = true
		w.run(8 * time.Second)
		if w.effective == 0 {
			t.Fatal("no view without faults")
		}
		w.faultsOff = false
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			w.injectFault()
			w.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "wait")) * time.Millisecond)
		}
		if rapid.IntRange(0, 5).Draw(t, "settle") == 0 {
			w.checkRecovery()
		}
	})
}

func ExampleHomeOf() {
	home, ok := viewlease.HomeOf([]viewlease.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}, viewlease.SlotOf("team", "key"))
	fmt.Println(home.ID != "", ok)
	// Output: true true
}
