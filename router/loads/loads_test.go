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

// network joins the instances of a test and counts what they say.
type network struct {
	mu sync.Mutex
	// handlers are by instance and method.
	handlers map[string]instance.Handler
	messages int
	bytes    int
}

// port is one instance's side of the network.
type port struct {
	*network
	id string
}

func (p port) Handle(method string, h instance.Handler) { p.handlers[p.id+method] = h }

func (p port) Learn(map[string]string) {}

func (p port) Call(ctx context.Context, to, method string, params, result any) error {
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

// fleet is the same for all instances of a test.
type fleet struct {
	members []string
	runners []bundle.Runner
	mu      sync.Mutex
	// asked counts the questions to each runner.
	asked map[string]int
}

func (f *fleet) Members() []string { return f.members }

func (f *fleet) Runners() []bundle.Runner { return f.runners }

func (f *fleet) Load(_ context.Context, to bundle.Runner) (runnerapi.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked[to.ID]++
	return runnerapi.Load{}, nil
}

func newFleet(instances, runners int) *fleet {
	f := &fleet{asked: map[string]int{}}
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

// run exchanges for d and returns the pools of all instances. The network
// counts from the middle on.
func run(t *testing.T, f *fleet, n *network, d time.Duration) []pool.Pools {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	pools, exchanges := parts(f, n)
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

// parts returns the pools and the exchange of each member.
func parts(f *fleet, n *network) (pools []pool.Pools, exchanges []loads.Exchange) {
	for _, id := range f.members {
		p := pool.New(clock.System())
		p.Update(pool.Topology{Runners: f.runners, Zone: "z1", Instances: f.members, Self: id, Settled: true})
		pools = append(pools, p)
		exchanges = append(exchanges, loads.New(loads.Parts{
			Self: id, Clock: clock.System(), Log: hclog.NewNullLogger(), Mesh: port{n, id}, Pools: p, Runners: f, Fleet: f,
		}))
	}
	return pools, exchanges
}

func TestEachInstanceLearnsWhichRunnersAreWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(5, 40)
		n := &network{handlers: map[string]instance.Handler{}}
		for _, p := range run(t, f, n, 4900*time.Millisecond) {
			rows := p.Status()
			is.True(len(rows) == len(f.runners))
			is.True(!slices.ContainsFunc(rows, func(s pool.Status) bool { return s.Cold }))
		}
		for _, times := range f.asked {
			is.Equal(times, 5) // once a second, by one instance
		}
	})
}

// TestTrafficOfAnInstanceBound holds what an instance says while all runners
// are warm: it does not follow the size of the fleet.
func TestTrafficOfAnInstanceBound(t *testing.T) {
	var perInstance []float64
	for _, size := range []int{5, 15, 45} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(size, 4*size)
			n := &network{handlers: map[string]instance.Handler{}}
			const seconds = 10
			run(t, f, n, 2*seconds*time.Second)
			instances := float64(size * seconds)
			t.Logf("%d instances, %d runners: %.1f messages and %.0f bytes a second and instance",
				size, 4*size, float64(n.messages)/instances, float64(n.bytes)/instances)
			perInstance = append(perInstance, float64(n.bytes)/instances)
		})
	}
	is := is.New(t)
	is.True(perInstance[2] < 3*perInstance[0]) // nine times the fleet
}

// TestColdSignReachesAllAtOnce has one instance see a runner fail.
func TestColdSignReachesAllAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(5, 1)
		n := &network{handlers: map[string]instance.Handler{}}
		ctx, cancel := context.WithCancel(t.Context())
		pools, exchanges := parts(f, n)
		var group errgroup.Group
		for _, e := range exchanges {
			group.Go(func() error { return e.Run(ctx) })
		}
		is.NoErr(clock.System().Sleep(ctx, 5300*time.Millisecond))
		place, err := pools[0].Acquire(ctx, pool.Ask{Service: "generate", Paying: true, Deadline: clock.System().Now().Add(time.Second)})
		is.NoErr(err)
		place.Done(pool.Result{Ending: pool.Failed})
		synctest.Wait() // no time passes
		for _, p := range pools {
			is.True(p.Status()[0].Cold)
		}
		cancel()
		_ = group.Wait()
	})
}
