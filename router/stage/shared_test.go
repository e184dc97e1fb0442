package stage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/owner"
	"cicadawell.dev/router/policy"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// pipeMesh calls the handlers of its peer. If it is silent, calls get no
// answer.
type pipeMesh struct {
	handlers map[string]instance.Handler
	peer     *pipeMesh
	silent   bool
	mu       sync.Mutex
	calls    []string
}

func newPipeMesh() *pipeMesh { return &pipeMesh{handlers: make(map[string]instance.Handler)} }

func (m *pipeMesh) Handle(method string, h instance.Handler) { m.handlers[method] = h }

func (m *pipeMesh) SetAddresses(map[string]string) {}

func (m *pipeMesh) Call(ctx context.Context, _, method string, params, result any) error {
	m.mu.Lock()
	m.calls = append(m.calls, method)
	m.mu.Unlock()
	if m.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	type outcome struct {
		answer any
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		answer, err := m.peer.handlers[method](context.Background(), "caller", raw)
		done <- outcome{answer, err}
	}()
	select {
	case out := <-done:
		if out.err != nil || result == nil {
			return out.err
		}
		raw, err := json.Marshal(out.answer)
		return errors.Join(err, json.Unmarshal(raw, result))
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pair has an instance, self, and the owner of its orders, other.
type pair struct {
	self, other               Maker
	mesh                      *pipeMesh
	selfRunners, otherRunners *fakeRunners
	close                     func()
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{selfRunners: &fakeRunners{}, otherRunners: &fakeRunners{}, mesh: newPipeMesh()}
	peer := newPipeMesh()
	p.mesh.peer = peer
	current := inventory.NewCurrent(clock.System())
	current.Advance(&inventory.Snapshot{Revision: era.New(0, 1), Instances: map[string]inventory.Instance{"other": {Name: "other"}}})
	selfPools, otherPools := testPools(t, p.selfRunners, 2), testPools(t, p.otherRunners, 2)
	newFinder := func() owner.Finder { return owner.NewFinder(clock.System(), current) }
	p.self = NewShared(clock.System(), "self", newFinder(), p.mesh, selfPools, hclog.NewNullLogger())
	p.other = NewShared(clock.System(), "other", newFinder(), peer, otherPools, hclog.NewNullLogger())
	p.close = func() {
		selfPools.Close(t.Context())
		otherPools.Close(t.Context())
	}
	return p
}

func TestOrdersAreMadeByTheirOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t)
		is.Equal(countMade(p.self.Make(t.Context(), testOrder("c", 3, time.Second, 2*time.Second))), 3)
		is.Equal(p.otherRunners.results, 3)
		is.Equal(p.selfRunners.results, 0)
		p.close()
	})
}

// TestOrdersMoveFromUnresponsiveOwner has an order wait for an owner that
// doesn't answer. A reservation that times out detects this, and the order has
// to move on to this instance.
func TestOrdersMoveFromUnresponsiveOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t)
		p.mesh.silent = true
		begin := clock.System().Now()
		var group sync.WaitGroup
		group.Go(func() {
			is.Equal(countMade(p.self.Make(t.Context(), testOrder("c", 3, time.Second, 2*time.Second))), 3)
		})
		synctest.Wait()
		is.Equal(p.self.Reserve(t.Context(), Reservation{ID: "d", Shard: testShard, Pieces: 1}), Forecast{})
		group.Wait()
		is.Equal(p.selfRunners.results, 3)
		is.True(clock.System().Now().Sub(begin) < time.Second) // one reservation timeout and one batch
		p.close()
	})
}

func TestAbandonedOrdersAreDroppedAtTheirOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for _, id := range []string{"1", "2"} {
			group.Go(func() { p.self.Make(t.Context(), testOrder(id, 8, time.Second, 4*time.Second)) })
		}
		synctest.Wait()
		group.Go(func() {
			for _, r := range p.self.Make(ctx, testOrder("gone", 4, time.Second, 4*time.Second)) {
				is.Equal(r.Failure, Abandoned)
			}
		})
		synctest.Wait()
		cancel()
		group.Wait()
		synctest.Wait()
		p.close()
		is.Equal(p.otherRunners.results, 16)
	})
}

// TestOrdersMoveFromOwnerWithoutConfiguration has an owner without a
// configuration, to which the service is unknown.
func TestOrdersMoveFromOwnerWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t)
		current := inventory.NewCurrent(clock.System())
		set := target.NewSet(clock.System(), func(string, float64) float64 { return 1 }, time.Second)
		empty := NewPools(clock.System(), policy.Default(), current, set, p.otherRunners, hclog.NewNullLogger())
		NewShared(clock.System(), "other", owner.NewFinder(clock.System(), current), p.mesh.peer, empty, hclog.NewNullLogger())
		is.Equal(countMade(p.self.Make(t.Context(), testOrder("c", 3, time.Second, 2*time.Second))), 3)
		is.Equal(p.selfRunners.results, 3)
		empty.Close(t.Context())
		p.close()
	})
}

// TestZonesHaveTheirOwnQueues keeps the runners of one zone busy. Orders for
// another zone are made by its own owner and runners meanwhile.
func TestZonesHaveTheirOwnQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &fakeRunners{}
		w := testPools(t, b, 4)
		s := *b.current.Load()
		s.Runners = maps.Clone(s.Runners)
		for _, id := range []string{"r2", "r3"} {
			r := *s.Runners[id]
			r.Zone = "y"
			s.Runners[id] = &r
		}
		s.Revision.Number++
		b.current.Advance(&s)
		begin := clock.System().Now()
		var group sync.WaitGroup
		for i := range 8 {
			group.Go(func() {
				o := testOrder(fmt.Sprint("busy", i), 8, 9*time.Second, 9*time.Second)
				o.Shard.Zone = "z"
				results := w.Make(t.Context(), o)
				is.Equal(countMade(results), 8)
				for _, r := range results {
					is.True(r.Runner == "r0" || r.Runner == "r1")
				}
			})
		}
		synctest.Wait()
		o := testOrder("other", 8, time.Second, 9*time.Second)
		o.Shard.Zone = "y"
		results := w.Make(t.Context(), o)
		is.Equal(countMade(results), 8)
		is.True(clock.System().Now().Sub(begin) < 300*time.Millisecond) // one batch
		for _, r := range results {
			is.True(r.Runner == "r2" || r.Runner == "r3")
		}
		is.Equal(w.Reserve(t.Context(), Reservation{ID: "q", Shard: o.Shard, Pieces: 1, Due: begin.Add(time.Second)}).Refused, false)
		group.Wait()
		w.Close(t.Context())
	})
}

// TestOrdersOfInvalidSizeAreRefused sends sizes that would exhaust the memory of
// their owner, or make it panic.
func TestOrdersOfInvalidSizeAreRefused(t *testing.T) {
	is := is.New(t)
	mesh := newPipeMesh()
	w := testPools(t, &fakeRunners{}, 2)
	NewShared(clock.System(), "self", owner.NewFinder(clock.System(), inventory.NewCurrent(clock.System())), mesh, w, hclog.NewNullLogger())
	for _, method := range []string{methodMake, methodReserve} {
		for _, pieces := range []string{"-1", "10001", "9000000000000"} {
			_, err := mesh.handlers[method](t.Context(), "caller", json.RawMessage(`{"shard":{"service":"encode"},"pieces":`+pieces+`}`))
			is.True(fault.Is(err, fault.BadRequest))
			is.True(strings.Contains(err.Error(), "pieces"))
		}
	}
	w.Close(t.Context())
}
