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
	"cicadawell.dev/router/roster/viewlease"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { property.Main(m, 100) }

const (
	instances     = 4
	leaseDuration = 3 * time.Second
	skew          = 200 * time.Millisecond
	callTimeout   = 8 * time.Second
	// settleTimeout is longer than a graceful change of the view takes in
	// these tests.
	settleTimeout = 2 * time.Second
)

// cluster is a set of ledgers with the views that they agree on and a record of
// the calls that they ran.
type cluster struct {
	clk   clock.Clock
	mu    sync.Mutex
	rand  *rand.Rand
	nodes []*node
	// replaced are earlier incarnations, whose calls may still run.
	replaced []*node
	view     viewlease.View
	runs     map[string]int
	// requests is true for a request that ran, and false for one that was
	// refused as not run.
	requests map[string]bool
	failures []string
	keyCount int
	// outcomes counts the calls by outcome.
	outcomes map[fault.Outcome]int
	// faultFree clusters lose no message, and their runners do not fail.
	faultFree bool
	work      sync.WaitGroup
}

// node is one incarnation of an instance.
type node struct {
	cluster  *cluster
	self     viewlease.Member
	ledger   ledger.ManagedLedger
	handlers map[string]instance.Handler

	mu          sync.Mutex
	state       viewlease.State
	changed     []func()
	partitioned bool
}

// randN returns a random number below n.
func (c *cluster) randN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(n)
}

// oneIn is true with probability 1/n, and never in a fault-free cluster.
func (c *cluster) oneIn(n int) bool { return !c.faultFree && c.randN(n) == 0 }

func (c *cluster) waitRandom(limit time.Duration) {
	<-c.clk.After(time.Duration(c.randN(int(limit))) + 1)
}

func (c *cluster) recordFailure(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

func (c *cluster) start(id, incarnation string) *node {
	n := &node{cluster: c, self: viewlease.Member{ID: id, Incarnation: incarnation}, handlers: make(map[string]instance.Handler)}
	n.state = viewlease.State{Self: n.self, LeaseDuration: leaseDuration}
	n.ledger = ledger.New(ledger.WithID(id), ledger.WithMesh(n), ledger.WithRoster(n), ledger.WithExecutor(n),
		ledger.WithSkew(skew, 0), ledger.WithSettleTimeout(settleTimeout))
	return n
}

// Subscribe and State implement the roster of the node's ledger.
func (n *node) Subscribe(changed func()) { n.changed = append(n.changed, changed) }

func (n *node) State() viewlease.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state
}

func (n *node) set(change func(s *viewlease.State)) {
	n.mu.Lock()
	change(&n.state)
	n.mu.Unlock()
	for _, changed := range n.changed {
		changed()
	}
}

// RunOnce implements the runner of the node's ledger. It may pause for longer
// than a lease lasts before it calls the guard.
func (n *node) RunOnce(_ context.Context, call ledger.Call, guard func() error) (callerapi.Response, error) {
	c := n.cluster
	if c.oneIn(12) {
		return callerapi.Response{}, fault.New(fault.NoRunner, "none free")
	}
	c.waitRandom(100 * time.Millisecond)
	if c.oneIn(6) {
		c.waitRandom(2 * leaseDuration)
	}
	if err := guard(); err != nil {
		return callerapi.Response{}, err
	}
	c.mu.Lock()
	c.runs[call.Team+"/"+call.Key]++
	if _, refused := c.requests[call.Request]; refused {
		c.failures = append(c.failures, call.Request+" ran though it was refused as not run")
	}
	c.requests[call.Request] = true
	c.mu.Unlock()
	c.waitRandom(300 * time.Millisecond)
	if c.oneIn(10) {
		return callerapi.Response{}, fault.New(fault.OutcomeUnknown, "cut")
	}
	return callerapi.Response{Output: call.Input}, nil
}

// Handle, SetAddresses and Call implement the mesh of the node's ledger.
func (n *node) Handle(method string, h instance.Handler) { n.handlers[method] = h }

func (n *node) SetAddresses(map[string]string) {}

func (n *node) isPartitioned() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned
}

func (n *node) Call(ctx context.Context, to, method string, params, result any) error {
	c := n.cluster
	c.mu.Lock()
	i := slices.IndexFunc(c.nodes, func(other *node) bool { return other.self.ID == to })
	var other *node
	if i >= 0 {
		other = c.nodes[i]
	}
	c.mu.Unlock()
	if other == nil || n.isPartitioned() || other.isPartitioned() || c.oneIn(30) {
		return fault.New(fault.HomeUnsettled, "unreachable")
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	c.waitRandom(20 * time.Millisecond)
	if method != "ledger.run" && c.oneIn(20) { // arrives twice
		c.work.Go(func() { _, _ = other.handlers[method](context.WithoutCancel(ctx), n.self.ID, raw) })
	}
	response, err := other.handlers[method](ctx, n.self.ID, raw)
	if n.isPartitioned() || other.isPartitioned() || c.oneIn(30) {
		return fault.New(fault.OutcomeUnknown, "answer lost")
	}
	if err != nil {
		return fault.Of(err).Message().Err()
	}
	back, err := json.Marshal(response)
	if err != nil || result == nil {
		return err
	}
	return json.Unmarshal(back, result)
}

// changeView installs the next view as package viewlease allows: it takes effect
// once every reachable member has given up the old view and the leases of the
// others have expired.
func (c *cluster) changeView(members []viewlease.Member) {
	c.view = c.view.WithMembers(members)
	v := c.view
	partitionedPrior := false
	for _, n := range c.nodes {
		if n.isPartitioned() {
			partitionedPrior = partitionedPrior || slices.Contains(v.Prior, n.self)
			continue
		}
		c.waitRandom(200 * time.Millisecond)
		n.set(func(s *viewlease.State) { s.View, s.Effective, s.LeaseStart = v, false, c.clk.Now() })
	}
	if partitionedPrior {
		<-c.clk.After(leaseDuration)
	}
	for _, n := range c.nodes {
		if n.isPartitioned() {
			continue
		}
		c.waitRandom(200 * time.Millisecond)
		n.set(func(s *viewlease.State) { s.Effective, s.EffectiveAt, s.LeaseStart = true, c.clk.Now(), c.clk.Now() })
	}
}

// renewLeases renews the leases of all reachable nodes until ctx ends.
func (c *cluster) renewLeases(ctx context.Context) {
	for c.clk.Sleep(ctx, 500*time.Millisecond) == nil {
		c.mu.Lock()
		nodes := slices.Clone(c.nodes)
		c.mu.Unlock()
		for _, n := range nodes {
			n.mu.Lock()
			if !n.partitioned {
				n.state.LeaseStart = c.clk.Now()
			}
			n.mu.Unlock()
		}
	}
}

func (c *cluster) others(than *node) []viewlease.Member {
	var all []viewlease.Member
	for _, n := range c.nodes {
		if n != than {
			all = append(all, n.self)
		}
	}
	return all
}

// replace removes a node, by a graceful stop or by a network partition, and
// starts another in its place.
func (c *cluster) replace(i int, incarnation string, graceful bool) {
	old := c.nodes[i]
	if !graceful {
		old.mu.Lock()
		old.partitioned = true
		old.mu.Unlock()
	}
	c.waitRandom(time.Second)
	c.changeView(c.others(old))
	if graceful {
		ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
		if err := old.ledger.Leave(ctx); err != nil {
			c.recordFailure("leave: %v", err)
		}
		cancel()
	}
	fresh := c.start(old.self.ID, incarnation)
	c.mu.Lock()
	c.replaced = append(c.replaced, old)
	c.nodes[i] = fresh
	c.mu.Unlock()
	c.changeView(append(c.others(fresh), fresh.self))
}

// sendDuplicates sends calls with one key to several instances and checks the
// responses.
func (c *cluster) sendDuplicates() {
	c.mu.Lock()
	c.keyCount++
	key := keyAt(c.clk.Now(), c.keyCount)
	c.mu.Unlock()
	team := fmt.Sprintf("t%d", c.randN(3))
	for attempt := range 1 + c.randN(4) {
		c.work.Go(func() {
			c.waitRandom(time.Second)
			if attempt > 1 {
				c.waitRandom(2 * leaseDuration)
			}
			call := callOf(team, key, team+"/"+key)
			call.Request = fmt.Sprintf("%s/%s/%d", team, key, attempt)
			call.RemainingMillis = callTimeout.Milliseconds()
			c.mu.Lock()
			n := c.nodes[c.rand.IntN(len(c.nodes))]
			c.mu.Unlock()
			response, _, err := n.ledger.Do(context.Background(), call)
			c.checkResponse(call, response, err)
		})
	}
}

func (c *cluster) checkResponse(call ledger.Call, response callerapi.Response, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	outcome := fault.Run
	if err != nil {
		outcome = fault.Of(err).Outcome()
	}
	c.outcomes[outcome]++
	if c.faultFree && outcome != fault.Run {
		c.failures = append(c.failures, fmt.Sprintf("%s was not answered: %v", call.Request, err))
	}
	switch {
	case err == nil && string(response.Output) != string(call.Input):
		c.failures = append(c.failures, fmt.Sprintf("%s was answered with %s", call.Input, response.Output))
	case err == nil:
	case fault.Of(err).Outcome() == fault.NotRun && c.requests[call.Request]:
		c.failures = append(c.failures, fmt.Sprintf("%s ran and was refused as not run: %v", call.Request, err))
	case fault.Of(err).Outcome() == fault.NotRun:
		c.requests[call.Request] = false // must not run later either
	}
}

// step is one disturbance: a graceful stop, a partition or a pause.
type step struct {
	kind  int
	node  int
	calls int
}

// simulate runs the steps in a synctest bubble and returns the violations
// found.
func simulate(t *testing.T, seed uint64, faultFree bool, steps []step) (failures []string, outcomes map[fault.Outcome]int) {
	synctest.Test(t, func(*testing.T) {
		c := &cluster{
			clk: clock.System(), rand: rand.New(rand.NewPCG(seed, 1)),
			runs: make(map[string]int), requests: make(map[string]bool),
			outcomes: make(map[fault.Outcome]int), faultFree: faultFree,
		}
		for i := range instances {
			c.nodes = append(c.nodes, c.start(string(rune('a'+i)), "0"))
		}
		ctx, cancel := context.WithCancel(context.Background())
		c.work.Go(func() { c.renewLeases(ctx) })
		c.changeView(c.others(nil))
		for i, s := range steps {
			for range s.calls {
				c.sendDuplicates()
			}
			c.waitRandom(time.Second)
			switch s.kind {
			case 0, 1:
				c.replace(s.node, fmt.Sprint(i+1), s.kind == 0)
			case 2:
				c.waitRandom(3 * time.Second)
			}
		}
		<-c.clk.After(4 * callTimeout)
		cancel()
		c.work.Wait()
		for _, n := range append(c.nodes, c.replaced...) {
			n.ledger.Close()
		}
		for key, n := range c.runs {
			if n > 1 {
				c.recordFailure("%s ran %d times", key, n)
			}
		}
		failures, outcomes = c.failures, c.outcomes
	})
	return failures, outcomes
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
		failures, _ := simulate(t, seed, false, steps)
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
	failures, outcomes := simulate(t, 1, true, steps)
	if len(failures) > 0 || outcomes[fault.Unknown] > 0 || outcomes[fault.NotRun] > 0 {
		t.Fatal(failures, outcomes)
	}
	t.Log(outcomes)
}
