package hold_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"cicadawell.dev/fleet/property"
	"cicadawell.dev/router/roster/hold"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { property.Main(m, 1500) }

// timing has a larger drift than real clocks, in half of the runs.
var timing = hold.Timing{
	Hold: 3 * time.Second, Limit: 9 * time.Second,
	ProposalStep: 300 * time.Millisecond, HeardFor: 3 * time.Second,
}

const largeDrift = 0.2

const (
	members    = 5
	roundEvery = time.Second
	readEvery  = 2 * time.Second
	ttl        = 4 * time.Second
	// maxNodes bounds the members and their older incarnations that go on.
	maxNodes = 8
	// checkedSlots are looked at for two homes.
	checkedSlots = 24
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world runs five members against one store. Time is the true time.
type world struct {
	timing hold.Timing
	t      *rapid.T
	now    time.Duration
	// nodes are the members, followed by older incarnations that go on though
	// they were replaced.
	nodes  []*node
	events []event
	store  store
	cut    map[[2]int]bool
	// quiet is true once no new faults happen.
	quiet bool
	// effective is the newest epoch that any member, also a crashed one, took
	// to be in effect.
	effective uint64
}

type event struct {
	at  time.Duration
	run func()
}

type store struct {
	view     hold.View
	revision uint64
	// seen is when a registration was last renewed.
	seen map[hold.Member]time.Duration
}

// node is one member and what its driver would do.
type node struct {
	index       int
	self        hold.Member
	machine     hold.Machine
	rate        float64
	pausedUntil time.Duration
	storeCut    bool
	// generation voids the events of earlier incarnations.
	generation int
	leaving    bool
	// replaced is true for an older incarnation that goes on.
	replaced bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, timing: timing, cut: make(map[[2]int]bool), store: store{seen: make(map[hold.Member]time.Duration)}}
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

func (w *world) restart(n *node) {
	n.generation++
	n.leaving = false
	n.pausedUntil = 0
	n.self = hold.Member{ID: string(rune('a' + n.index)), Incarnation: strconv.Itoa(n.generation)}
	n.machine = hold.New(n.self, w.timing)
	n.rate = 1 + w.timing.Drift*float64(rapid.IntRange(-1, 1).Draw(w.t, "rate"))
	w.every(n, roundEvery, w.ask)
	w.every(n, readEvery, w.read)
}

// replace starts a new incarnation while the old one goes on.
func (w *world) replace(n *node) {
	if len(w.nodes) == maxNodes || n.replaced {
		return
	}
	old := *n
	old.index = len(w.nodes)
	old.replaced = true
	old.generation = -n.generation
	w.nodes = append(w.nodes, &old)
	w.every(&old, roundEvery, w.ask)
	w.every(&old, readEvery, w.read)
	w.restart(n)
}

// local returns the member's clock.
func (w *world) local(n *node) time.Time {
	return origin.Add(time.Duration(float64(w.now) * n.rate))
}

func (w *world) at(d time.Duration, run func()) {
	w.events = append(w.events, event{w.now + d, run})
}

// on runs an event of a member when it is neither paused nor another
// incarnation by then; a paused member takes it in when it goes on.
func (w *world) on(n *node, d time.Duration, run func()) {
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
	w.at(d, attempt)
}

func (w *world) every(n *node, period time.Duration, run func(*node)) {
	phase := time.Duration(rapid.IntRange(0, 1000).Draw(w.t, "phase")) * time.Millisecond
	w.on(n, phase, func() {
		run(n)
		w.again(n, period, run)
	})
}

func (w *world) again(n *node, period time.Duration, run func(*node)) {
	w.on(n, period, func() {
		run(n)
		w.again(n, period, run)
	})
}

// latency draws how long a message or a call takes.
func (w *world) latency() time.Duration {
	if !w.quiet && rapid.IntRange(0, 9).Draw(w.t, "slow") == 0 {
		return time.Duration(rapid.IntRange(1, 6000).Draw(w.t, "latency")) * time.Millisecond
	}
	return time.Millisecond
}

// lost draws whether a message is lost, and copies whether it comes twice.
func (w *world) lost() bool { return !w.quiet && rapid.IntRange(0, 19).Draw(w.t, "lost") == 0 }

// connected reports whether messages pass in this direction.
func (w *world) connected(from, to int) bool { return !w.cut[[2]int{from, to}] }

func (w *world) ask(n *node) {
	ask, targets := n.machine.Round(w.local(n))
	for _, target := range targets {
		i := slices.IndexFunc(w.nodes, func(other *node) bool { return other.self == target })
		if i >= 0 {
			other := w.nodes[i]
			w.deliver(n, other, func() {
				reply := other.machine.Asked(w.local(other), ask)
				w.deliver(other, n, func() { n.machine.Replied(w.local(n), reply) })
			})
		}
	}
}

// deliver brings a message from one member to another, late, twice or never.
func (w *world) deliver(from, to *node, take func()) {
	if !w.connected(from.index, to.index) || w.lost() {
		return
	}
	w.on(to, w.latency(), take)
	if !w.quiet && rapid.IntRange(0, 19).Draw(w.t, "twice") == 0 {
		w.on(to, w.latency(), take)
	}
}

// read renews the registration and reads the view and the registrations.
func (w *world) read(n *node) {
	start := w.local(n)
	w.call(n, func() func() {
		if !n.replaced && (!n.leaving || slices.Contains(w.store.view.Members, n.self)) {
			w.store.seen[n.self] = w.now
		}
		r := hold.Read{View: w.store.view, Revision: w.store.revision}
		registrations := w.registrations()
		return func() {
			n.machine.Registered(w.local(n), registrations)
			n.machine.Read(w.local(n), start, r)
		}
	}, nil)
}

func (w *world) registrations() []hold.Registration {
	var all []hold.Registration
	for _, n := range w.nodes {
		if at, ok := w.store.seen[n.self]; ok && !n.replaced && w.now-at < ttl {
			all = append(all, hold.Registration{Member: n.self, Leaving: n.leaving})
		}
	}
	return all
}

// call runs apply at the store after a while, and what it returns when the
// answer arrives. The answer, or the whole call, may be lost: then lost runs.
func (w *world) call(n *node, apply func() func(), lost func()) {
	give := func() {
		if lost != nil {
			w.on(n, w.latency(), lost)
		}
	}
	if n.storeCut || w.lost() {
		give()
		return
	}
	w.at(w.latency(), func() {
		answer := apply()
		w.check()
		if n.storeCut || w.lost() {
			give()
			return
		}
		w.on(n, w.latency(), answer)
	})
}

func (w *world) propose(n *node) {
	write, ok := n.machine.Propose(w.local(n))
	if !ok {
		return
	}
	end := func(r hold.WriteResult) func() {
		return func() { n.machine.Wrote(w.local(n), write, r) }
	}
	w.call(n, func() func() {
		if w.store.revision != write.IfRevision {
			return end(hold.Overtaken)
		}
		if write.View.Epoch > w.store.view.Epoch {
			w.strike()
		}
		w.store.view = write.View
		w.store.revision++
		return end(hold.Written)
	}, end(hold.Lost))
}

// run moves the true time on by d.
func (w *world) run(d time.Duration) {
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

// check fails when a member holds an older epoch than the one in effect.
func (w *world) check() {
	var states [maxNodes]hold.State
	for i, n := range w.nodes {
		states[i] = n.machine.State(w.local(n))
		if states[i].Effective {
			w.effective = max(w.effective, states[i].View.Epoch)
		}
	}
	for i, s := range states[:len(w.nodes)] {
		if s.View.Epoch < w.effective && s.Holds(w.local(w.nodes[i])) {
			w.t.Fatalf("at %v %v holds epoch %d while %d is in effect", w.now, s.Self, s.View.Epoch, w.effective)
		}
	}
}

// checkHomes fails when two members act as home of one slot.
func (w *world) checkHomes() (homes int) {
	for slot := range hold.Slot(checkedSlots) {
		var acting []hold.Member
		for _, n := range w.nodes {
			if n.machine.State(w.local(n)).Acts(w.local(n), slot) {
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

// disturb redraws what is cut, and induces one fault.
func (w *world) disturb() {
	w.recut()
	n := w.draw()
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

// strike redraws what is cut while the view is being written, and again soon
// after.
func (w *world) strike() {
	if w.quiet || rapid.Bool().Draw(w.t, "spare") {
		return
	}
	w.recut()
	w.at(time.Duration(rapid.IntRange(1, 1500).Draw(w.t, "again"))*time.Millisecond, func() {
		if !w.quiet {
			w.recut()
		}
	})
}

// recut redraws which members reach the store and each other.
func (w *world) recut() {
	switch rapid.IntRange(0, 4).Draw(w.t, "cuts") {
	case 0:
		w.heal()
	case 1:
		w.partition()
	case 2, 3:
		w.isolate(w.draw())
	case 4:
		w.cut[[2]int{w.draw().index, w.draw().index}] = true
	}
	if rapid.Bool().Draw(w.t, "storeCuts") {
		for _, n := range w.nodes {
			n.storeCut = rapid.Bool().Draw(w.t, "storeCut")
		}
	}
}

// partition divides the members in two.
func (w *world) partition() {
	side := make([]bool, len(w.nodes))
	for i := range side {
		side[i] = rapid.Bool().Draw(w.t, "side")
	}
	for i := range w.nodes {
		for j := range w.nodes {
			w.cut[[2]int{i, j}] = side[i] != side[j]
		}
	}
}

func (w *world) isolate(n *node) {
	w.heal()
	n.storeCut = true
	for i := range w.nodes {
		w.cut[[2]int{i, n.index}] = true
		w.cut[[2]int{n.index, i}] = true
	}
}

func (w *world) draw() *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, "node")]
}

func (w *world) heal() {
	clear(w.cut)
	for _, n := range w.nodes {
		n.storeCut = false
	}
}

// settle ends all faults and waits for the longest change that may be under
// way, and one more.
func (w *world) settle() {
	w.quiet = true
	w.heal()
	w.nodes = w.nodes[:members]
	for _, n := range w.nodes {
		n.pausedUntil = 0
		if n.leaving {
			w.restart(n)
		}
	}
	w.run(4 * (timing.Hold + timing.Limit + ttl))
	if homes := w.checkHomes(); homes != checkedSlots {
		for _, n := range w.nodes {
			w.t.Logf("%+v", n.machine.State(w.local(n)))
		}
		w.t.Fatalf("%d of %d slots have a home after all faults healed; store %+v", homes, checkedSlots, w.store.view)
	}
}

func TestNoMemberHoldsAnOlderEpochProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.quiet = true
		w.run(8 * time.Second)
		if w.effective == 0 {
			t.Fatal("no view without faults")
		}
		w.quiet = false
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			w.disturb()
			w.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "wait")) * time.Millisecond)
		}
		if rapid.IntRange(0, 5).Draw(t, "settle") == 0 {
			w.settle()
		}
	})
}

func ExampleHomeOf() {
	home, ok := hold.HomeOf([]hold.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}, hold.SlotOf("team", "key"))
	fmt.Println(home.ID != "", ok)
	// Output: true true
}
