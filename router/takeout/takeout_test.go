package takeout

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"github.com/matryer/is"
)

func zoneOrder(generation uint64, out bool, id string) Order {
	return Order{Kind: Zone, Takeout: operatorapi.Takeout{Name: "a", Generation: generation, Out: out, Order: id}}
}

func TestOrdersAreTotallyOrdered(t *testing.T) {
	is := is.New(t)
	ascending := []Order{
		zoneOrder(1, false, "y"), zoneOrder(1, false, "z"), zoneOrder(1, true, "a"), zoneOrder(1, true, "b"),
		zoneOrder(2, false, "a"), zoneOrder(2, true, "a"),
	}
	for i, low := range ascending {
		for _, high := range ascending[i+1:] {
			is.Equal(newSet(nil).With(low).With(high).Find(Zone, "a"), high)
			is.Equal(newSet(nil).With(high).With(low).Find(Zone, "a"), high)
			is.Equal(newSet(nil).With(high, low).Zones["a"], high.Out)
		}
	}
}

// withInstances runs f with started instances and stops them afterwards.
func withInstances(t *testing.T, size int, f func(is *is.I, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		w.changed = make(chan struct{})
		for i := range size {
			w.start(fmt.Sprintf("i%03d", i+1))
		}
		sleep(10 * time.Second)
		f(is.New(t), w)
		for _, p := range w.procs {
			p.stop()
		}
		for _, p := range w.procs {
			p.done.Wait()
		}
		sleep(time.Minute)
		for _, v := range w.violations {
			t.Error(v)
		}
	})
}

// TestTakeOutReachesAllInstancesInTime takes a zone out with and without the
// store. It guards against an order that needs more than 3 s to be in force on
// all instances, and logs the time, messages and bytes.
func TestTakeOutReachesAllInstancesInTime(t *testing.T) {
	for _, size := range []int{5, 50, 150} {
		for _, storeOut := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d instances, store out %v", size, storeOut), func(t *testing.T) {
				withInstances(t, size, func(is *is.I, w *world) {
					w.mu.Lock()
					w.storeOut = storeOut
					messages, bytes := w.messages, w.bytes
					w.mu.Unlock()
					begin := virtualClock.Now()
					s, err := w.procs[0].node.OperatorOrders(Zone).Out(context.Background(), "ann", "a", newOrder(0))
					is.NoErr(err)
					is.Equal(s.Stored, !storeOut)
					took := virtualClock.Now().Sub(begin)
					for _, p := range w.procs {
						is.True(p.node.Current().Zones["a"])
					}
					is.True(took <= 3*time.Second)
					t.Logf("acknowledged with all holding it after %v of virtual time; %d messages, %d bytes an instance",
						took, (w.messages-messages)/size, (w.bytes-bytes)/size)
				})
			})
		}
	}
}

// TestStartReadsOrdersOfOtherInstances starts an instance while an order can't be
// read from the store, which is down or does not hold the order yet. It guards
// against an instance that serves before it has the order from another instance.
func TestStartReadsOrdersOfOtherInstances(t *testing.T) {
	for _, storeOut := range []bool{true, false} {
		withInstances(t, 3, func(is *is.I, w *world) {
			w.mu.Lock()
			w.storeOut = storeOut
			for _, p := range w.procs {
				p.cutStore = true
			}
			w.mu.Unlock()
			_, err := w.procs[0].node.OperatorOrders(Zone).Out(context.Background(), "ann", "a", newOrder(0))
			is.NoErr(err)
			p := w.start("i009")
			for p.node.Ready() != nil {
				is.True(!p.node.started.Load() || p.node.Current().Zones["a"])
				sleep(time.Millisecond)
			}
			is.True(p.node.Current().Zones["a"]) // in force before the instance serves
		})
	}
}

func TestTakeOutOnOneInstanceIsNotAcknowledged(t *testing.T) {
	withInstances(t, 3, func(is *is.I, w *world) {
		p := w.procs[0]
		w.mu.Lock()
		p.cutStore, p.cutPeers = true, true
		w.mu.Unlock()
		_, err := p.node.OperatorOrders(Zone).Out(context.Background(), "ann", "a", newOrder(0))
		is.True(fault.Is(err, fault.StoreUnavailable))
		is.Equal(fault.Of(err).Outcome(), fault.Unknown)
		is.True(p.node.Current().Zones["a"]) // in force on this instance
		w.mu.Lock()
		p.cutStore, p.cutPeers = false, false
		w.mu.Unlock()
		sleep(5 * time.Second)
		is.True(w.procs[1].node.Current().Zones["a"]) // the order was sent again
		rows, err := p.node.OperatorOrders(Zone).List(context.Background())
		is.NoErr(err)
		is.True(rows[0].Out && rows[0].Complete())
	})
}

// TestBringBackRequiresTheLatestOrder guards against a zone that is brought back
// by an operator who has not seen the latest order, or while the store is down.
func TestBringBackRequiresTheLatestOrder(t *testing.T) {
	withInstances(t, 3, func(is *is.I, w *world) {
		ctx := context.Background()
		_, err := w.procs[0].node.OperatorOrders(Zone).Out(ctx, "ann", "a", newOrder(0))
		is.NoErr(err)
		second, err := w.procs[2].node.OperatorOrders(Zone).Out(ctx, "ben", "a", newOrder(1))
		is.NoErr(err)
		_, err = w.procs[1].node.OperatorOrders(Zone).In(ctx, "ann", "a", newOrder(1))
		is.True(fault.Is(err, fault.Conflict))
		is.True(strings.Contains(err.Error(), "ben ordered it out with generation 2"))
		var r operatorapi.ErrorResponse
		var c *conflictError
		is.True(errors.As(err, &c))
		c.AddCurrentState(&r)
		is.Equal(r.Takeout.Order, second.Order)
		w.mu.Lock()
		w.storeOut = true
		w.mu.Unlock()
		_, err = w.procs[1].node.OperatorOrders(Zone).In(ctx, "ann", "a", newOrder(2))
		is.True(fault.Is(err, fault.StoreUnavailable))
		for _, p := range w.procs {
			is.True(p.node.Current().Zones["a"])
		}
		w.mu.Lock()
		w.storeOut = false
		w.mu.Unlock()
		s, err := w.procs[1].node.OperatorOrders(Zone).In(ctx, "ann", "a", newOrder(2))
		is.NoErr(err)
		is.True(s.Complete() && !s.Out)
		_, err = w.procs[1].node.OperatorOrders(Runner).Out(ctx, "ann", "nobody", newOrder(0))
		is.True(fault.Is(err, fault.NotFound))
	})
}
