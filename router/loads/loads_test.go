package loads_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/loads"
	"cicadawell.dev/router/pool"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// network connects the instances of a test in memory and counts their messages.
type network struct {
	mu sync.Mutex
	// handlers holds the handlers by instance and method.
	handlers map[string]instance.Handler
	messages int
	bytes    int
}

// endpoint is one instance's side of the network.
type endpoint struct {
	*network
	id string
}

func (p endpoint) Handle(method string, h instance.Handler) { p.handlers[p.id+method] = h }

func (p endpoint) SetAddresses(map[string]string) {}

func (p endpoint) Call(ctx context.Context, to, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := p.handlers[to+method](ctx, p.id, raw)
	if err != nil {
		return err
	}
	reply, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.messages += 2
	p.bytes += len(raw) + len(reply)
	p.mu.Unlock()
	if result == nil {
		return nil
	}
	return json.Unmarshal(reply, result)
}

// fleet is the fleet that all instances of a test share.
type fleet struct {
	members []string
	runners []bundle.Runner
	mu      sync.Mutex
	// polls counts the polls of each runner.
	polls map[string]int
}

func (f *fleet) Members() []string { return f.members }

func (f *fleet) Runners() []bundle.Runner { return f.runners }

func (f *fleet) Load(_ context.Context, to bundle.Runner) (runnerapi.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls[to.ID]++
	return runnerapi.Load{}, nil
}

func newFleet(instances, runners int) *fleet {
	f := &fleet{polls: map[string]int{}}
	for i := range instances {
		f.members = append(f.members, fmt.Sprintf("i%03d", i))
	}
	for i := range runners {
		f.runners = append(f.runners, bundle.Runner{
			ID: fmt.Sprintf("r%04d", i), Zone: "z1", Service: "generate", Slots: 8, ColdSlots: 1, ReportsLoad: true,
		})
	}
	return f
}

// runExchanges runs the exchanges of all instances for d and returns their
// pools. The network counts only messages of the second half.
func runExchanges(t *testing.T, f *fleet, n *network, d time.Duration) []pool.Pools {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	pools, exchanges := newExchanges(f, n)
	var group errgroup.Group
	for _, e := range exchanges {
		group.Go(func() error { return e.Run(ctx) })
	}
	if err := clock.System().Sleep(ctx, d/2); err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	n.messages, n.bytes = 0, 0
	n.mu.Unlock()
	_ = group.Wait()
	return pools
}

// newExchanges returns the pools and the exchange of each member.
func newExchanges(f *fleet, n *network) (pools []pool.Pools, exchanges []loads.Exchange) {
	for _, id := range f.members {
		p := pool.New(clock.System())
		p.Update(pool.Topology{Runners: f.runners, Zone: "z1", Instances: f.members, Self: id, ViewEffective: true})
		pools = append(pools, p)
		exchanges = append(exchanges, loads.New(loads.Parts{
			Self: id, Clock: clock.System(), Log: hclog.NewNullLogger(), Mesh: endpoint{n, id}, Pools: p, Runners: f, Fleet: f,
		}))
	}
	return pools, exchanges
}

func TestEachInstanceLearnsWhichRunnersAreWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(5, 40)
		n := &network{handlers: map[string]instance.Handler{}}
		for _, p := range runExchanges(t, f, n, 4900*time.Millisecond) {
			rows := p.Status()
			is.True(len(rows) == len(f.runners))
			is.True(!slices.ContainsFunc(rows, func(s pool.Status) bool { return s.Cold }))
		}
		for _, times := range f.polls {
			is.Equal(times, 5) // once a second, by one instance
		}
	})
}

// TestTrafficOfAnInstanceBound bounds the traffic of an instance while all
// runners are warm: it must not grow in proportion to the fleet.
func TestTrafficOfAnInstanceBound(t *testing.T) {
	var perInstance []float64
	for _, size := range []int{5, 15, 45} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(size, 4*size)
			n := &network{handlers: map[string]instance.Handler{}}
			const seconds = 10
			runExchanges(t, f, n, 2*seconds*time.Second)
			instances := float64(size * seconds)
			t.Logf("%d instances, %d runners: %.1f messages and %.0f bytes a second and instance",
				size, 4*size, float64(n.messages)/instances, float64(n.bytes)/instances)
			perInstance = append(perInstance, float64(n.bytes)/instances)
		})
	}
	is := is.New(t)
	is.True(perInstance[2] < 3*perInstance[0]) // the fleet is nine times as large
}

// TestColdRunnerIsBroadcast fails an attempt at one instance and expects that
// all others consider the runner cold without a delay.
func TestColdRunnerIsBroadcast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(5, 1)
		n := &network{handlers: map[string]instance.Handler{}}
		ctx, cancel := context.WithCancel(t.Context())
		pools, exchanges := newExchanges(f, n)
		var group errgroup.Group
		for _, e := range exchanges {
			group.Go(func() error { return e.Run(ctx) })
		}
		is.NoErr(clock.System().Sleep(ctx, 5300*time.Millisecond))
		slot, err := pools[0].Acquire(ctx, pool.Request{Service: "generate", Paying: true, Deadline: clock.System().Now().Add(time.Second)})
		is.NoErr(err)
		slot.Release(pool.Result{Ending: pool.Failed})
		synctest.Wait() // no time passes
		for _, p := range pools {
			is.True(p.Status()[0].Cold)
		}
		cancel()
		_ = group.Wait()
	})
}
