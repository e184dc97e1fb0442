package ledger_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/property"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/roster/hold"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { property.Main(m, 100) }

const (
	instances = 4
	holdFor   = 3 * time.Second
	skew      = 200 * time.Millisecond
	deadline  = 8 * time.Second
	// settleFor is longer than a graceful change of the view takes here.
	settleFor = 2 * time.Second
)

// fleet is some ledgers, the views that they agree on, and a record of what
// they ran.
type fleet struct {
	clk   clock.Clock
	mu    sync.Mutex
	rand  *rand.Rand
	nodes []*node
	// retired are earlier incarnations, whose calls may still run.
	retired  []*node
	view     hold.View
	runs     map[string]int
	requests map[string]bool
	failures []string
	keys     int
	// tally counts the calls by their outcome.
	tally map[fault.Outcome]int
	// calm fleets lose no message, and their runners do not fail.
	calm bool
	work sync.WaitGroup
}

// node is one incarnation of an instance.
type node struct {
	fleet    *fleet
	self     hold.Member
	book     ledger.Book
	handlers map[string]instance.Handler

	mu      sync.Mutex
	state   hold.State
	changed []func()
	cut     bool
}

// draw returns a number below n.
func (f *fleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.IntN(n)
}

// chance is true once in n times, and never in a calm fleet.
func (f *fleet) chance(n int) bool { return !f.calm && f.draw(n) == 0 }

func (f *fleet) wait(most time.Duration) {
	<-f.clk.After(time.Duration(f.draw(int(most))) + 1)
}

func (f *fleet) fail(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, fmt.Sprintf(format, args...))
}

func (f *fleet) start(id, incarnation string) *node {
	n := &node{fleet: f, self: hold.Member{ID: id, Incarnation: incarnation}, handlers: make(map[string]instance.Handler)}
	n.state = hold.State{Self: n.self, Hold: holdFor}
	n.book = ledger.New(ledger.WithID(id), ledger.WithMesh(n), ledger.WithRoster(n), ledger.WithRunner(n),
		ledger.WithSkew(skew, 0), ledger.WithSettling(settleFor))
	return n
}

// Subscribe and State make the node the roster of its ledger.
func (n *node) Subscribe(changed func()) { n.changed = append(n.changed, changed) }

func (n *node) State() hold.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state
}

func (n *node) set(change func(s *hold.State)) {
	n.mu.Lock()
	change(&n.state)
	n.mu.Unlock()
	for _, changed := range n.changed {
		changed()
	}
}

// RunOnce makes the node the runner of its ledger. It may be paused for longer
// than a hold before it asks the guard.
func (n *node) RunOnce(_ context.Context, call ledger.Call, guard func() error) (callerapi.Answer, error) {
	f := n.fleet
	if f.chance(12) {
		return callerapi.Answer{}, fault.New(fault.NoRunner, "none free")
	}
	f.wait(100 * time.Millisecond)
	if f.chance(6) {
		f.wait(2 * holdFor)
	}
	if err := guard(); err != nil {
		return callerapi.Answer{}, err
	}
	f.mu.Lock()
	f.runs[call.Team+"/"+call.Key]++
	if _, refused := f.requests[call.Request]; refused {
		f.failures = append(f.failures, call.Request+" ran though it was refused as not run")
	}
	f.requests[call.Request] = true
	f.mu.Unlock()
	f.wait(300 * time.Millisecond)
	if f.chance(10) {
		return callerapi.Answer{}, fault.New(fault.OutcomeUnknown, "cut")
	}
	return callerapi.Answer{Output: call.Input}, nil
}

// Handle, Learn and Call make the node the mesh of its ledger.
func (n *node) Handle(method string, h instance.Handler) { n.handlers[method] = h }

func (n *node) Learn(map[string]string) {}

func (n *node) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

func (n *node) Call(ctx context.Context, to, method string, params, result any) error {
	f := n.fleet
	f.mu.Lock()
	i := slices.IndexFunc(f.nodes, func(other *node) bool { return other.self.ID == to })
	var other *node
	if i >= 0 {
		other = f.nodes[i]
	}
	f.mu.Unlock()
	if other == nil || n.isCut() || other.isCut() || f.chance(30) {
		return fault.New(fault.HomeUnsettled, "unreachable")
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	f.wait(20 * time.Millisecond)
	if method != "ledger.run" && f.chance(20) { // arrives twice
		f.work.Go(func() { _, _ = other.handlers[method](context.WithoutCancel(ctx), n.self.ID, raw) })
	}
	answer, err := other.handlers[method](ctx, n.self.ID, raw)
	if n.isCut() || other.isCut() || f.chance(30) {
		return fault.New(fault.OutcomeUnknown, "answer lost")
	}
	if err != nil {
		return fault.Of(err).Message().Err()
	}
	back, err := json.Marshal(answer)
	if err != nil || result == nil {
		return err
	}
	return json.Unmarshal(back, result)
}

// change agrees on the next view, as package hold allows: it is in effect when
// every member that can be reached gave the old one up, and the holds of the
// others have lapsed.
func (f *fleet) change(members []hold.Member) {
	f.view = f.view.WithMembers(members)
	v := f.view
	lapse := false
	for _, n := range f.nodes {
		if n.isCut() {
			lapse = lapse || slices.Contains(v.Prior, n.self)
			continue
		}
		f.wait(200 * time.Millisecond)
		n.set(func(s *hold.State) { s.View, s.Effective, s.Held = v, false, f.clk.Now() })
	}
	if lapse {
		<-f.clk.After(holdFor)
	}
	for _, n := range f.nodes {
		if n.isCut() {
			continue
		}
		f.wait(200 * time.Millisecond)
		n.set(func(s *hold.State) { s.Effective, s.EffectiveAt, s.Held = true, f.clk.Now(), f.clk.Now() })
	}
}

// renew keeps the holds of all that can be reached fresh, until ctx ends.
func (f *fleet) renew(ctx context.Context) {
	for f.clk.Sleep(ctx, 500*time.Millisecond) == nil {
		f.mu.Lock()
		nodes := slices.Clone(f.nodes)
		f.mu.Unlock()
		for _, n := range nodes {
			n.mu.Lock()
			if !n.cut {
				n.state.Held = f.clk.Now()
			}
			n.mu.Unlock()
		}
	}
}

func (f *fleet) others(than *node) []hold.Member {
	var all []hold.Member
	for _, n := range f.nodes {
		if n != than {
			all = append(all, n.self)
		}
	}
	return all
}

// replace takes a node out, by a graceful stop or by cutting it off, and starts
// another in its place.
func (f *fleet) replace(i int, incarnation string, graceful bool) {
	old := f.nodes[i]
	if !graceful {
		old.mu.Lock()
		old.cut = true
		old.mu.Unlock()
	}
	f.wait(time.Second)
	f.change(f.others(old))
	if graceful {
		ctx, cancel := context.WithTimeout(context.Background(), 2*deadline)
		if err := old.book.Leave(ctx); err != nil {
			f.fail("leave: %v", err)
		}
		cancel()
	}
	fresh := f.start(old.self.ID, incarnation)
	f.mu.Lock()
	f.retired = append(f.retired, old)
	f.nodes[i] = fresh
	f.mu.Unlock()
	f.change(append(f.others(fresh), fresh.self))
}

// offer sends one key some times to some instances, and checks the answers.
func (f *fleet) offer() {
	f.mu.Lock()
	f.keys++
	key := keyAt(f.clk.Now(), f.keys)
	f.mu.Unlock()
	team := fmt.Sprintf("t%d", f.draw(3))
	for attempt := range 1 + f.draw(4) {
		f.work.Go(func() {
			f.wait(time.Second)
			if attempt > 1 {
				f.wait(2 * holdFor)
			}
			call := callOf(team, key, team+"/"+key)
			call.Request = fmt.Sprintf("%s/%s/%d", team, key, attempt)
			call.RemainingMillis = deadline.Milliseconds()
			f.mu.Lock()
			n := f.nodes[f.rand.IntN(len(f.nodes))]
			f.mu.Unlock()
			answer, _, err := n.book.Do(context.Background(), call)
			f.checkAnswer(call, answer, err)
		})
	}
}

func (f *fleet) checkAnswer(call ledger.Call, answer callerapi.Answer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	outcome := fault.Run
	if err != nil {
		outcome = fault.Of(err).Outcome()
	}
	f.tally[outcome]++
	if f.calm && outcome != fault.Run {
		f.failures = append(f.failures, fmt.Sprintf("%s was not answered: %v", call.Request, err))
	}
	switch {
	case err == nil && string(answer.Output) != string(call.Input):
		f.failures = append(f.failures, fmt.Sprintf("%s was answered with %s", call.Input, answer.Output))
	case err == nil:
	case fault.Of(err).Outcome() == fault.NotRun && f.requests[call.Request]:
		f.failures = append(f.failures, fmt.Sprintf("%s ran and was refused as not run: %v", call.Request, err))
	case fault.Of(err).Outcome() == fault.NotRun:
		f.requests[call.Request] = false // must not run later either
	}
}

// step is one disturbance.
type step struct {
	kind  int
	node  int
	calls int
}

// play runs the steps in a bubble and returns what went wrong.
func play(t *testing.T, seed uint64, calm bool, steps []step) (failures []string, tally map[fault.Outcome]int) {
	synctest.Test(t, func(*testing.T) {
		f := &fleet{
			clk: clock.System(), rand: rand.New(rand.NewPCG(seed, 1)),
			runs: make(map[string]int), requests: make(map[string]bool),
			tally: make(map[fault.Outcome]int), calm: calm,
		}
		for i := range instances {
			f.nodes = append(f.nodes, f.start(string(rune('a'+i)), "0"))
		}
		ctx, cancel := context.WithCancel(context.Background())
		f.work.Go(func() { f.renew(ctx) })
		f.change(f.others(nil))
		for i, s := range steps {
			for range s.calls {
				f.offer()
			}
			f.wait(time.Second)
			switch s.kind {
			case 0, 1:
				f.replace(s.node, fmt.Sprint(i+1), s.kind == 0)
			case 2:
				f.wait(3 * time.Second)
			}
		}
		<-f.clk.After(4 * deadline)
		cancel()
		f.work.Wait()
		for _, n := range append(f.nodes, f.retired...) {
			n.book.Close()
		}
		for key, n := range f.runs {
			if n > 1 {
				f.fail("%s ran %d times", key, n)
			}
		}
		failures, tally = f.failures, f.tally
	})
	return failures, tally
}

func TestAtMostOnceProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var steps []step
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			steps = append(steps, step{
				kind:  rapid.IntRange(0, 2).Draw(rt, "kind"),
				node:  rapid.IntRange(0, instances-1).Draw(rt, "node"),
				calls: rapid.IntRange(0, 20).Draw(rt, "calls"),
			})
		}
		failures, _ := play(t, seed, false, steps)
		if len(failures) > 0 {
			rt.Fatal(failures[0])
		}
	})
}

func TestGracefulStopsLeaveNoCallUnanswered(t *testing.T) {
	var steps []step
	for i := range instances {
		steps = append(steps, step{kind: 0, node: i, calls: 30})
	}
	failures, tally := play(t, 1, true, steps)
	if len(failures) > 0 || tally[fault.Unknown] > 0 || tally[fault.NotRun] > 0 {
		t.Fatal(failures, tally)
	}
	t.Log(tally)
}
