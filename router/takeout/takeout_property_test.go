package takeout

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/operatorapi"
	"github.com/google/uuid"
	"pgregory.net/rapid"
)

type injectedFault struct {
	at, duration time.Duration
	kind         string
	instance     int
}

var (
	kinds = []string{"crash", "cutPeers", "cutStore", "storeOut"}
	ids   = []string{"i1", "i2", "i3", "i4", "i5"}
)

const runLength = 30 * time.Second

// TestTakeoutProperty runs two operators who give concurrent orders on two zones
// during crashes, network partitions, store outages, lost, late and repeated
// messages, and lost answers to writes. It guards against an order replaced by an
// earlier one, against a zone brought back without a write to the store, and
// against an acknowledged take-out order that is not in force on a reachable
// instance.
func TestTakeoutProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(rt, "seed"))
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) injectedFault {
			return injectedFault{
				at:       time.Duration(rapid.IntRange(0, 25_000).Draw(t, "at")) * time.Millisecond,
				duration: time.Duration(rapid.IntRange(100, 15_000).Draw(t, "lasts")) * time.Millisecond,
				kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
				instance: rapid.IntRange(0, len(ids)-1).Draw(t, "instance"),
			}
		}), 0, 8).Draw(rt, "disturbances")
		synctest.Test(t, func(*testing.T) { w.run(all) })
		for _, v := range w.violations {
			rt.Error(v)
		}
	})
}

func (w *world) run(all []injectedFault) {
	w.lossy = true
	w.changed = make(chan struct{})
	for _, id := range ids {
		w.start(id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), runLength)
	defer cancel()
	var wg sync.WaitGroup
	for _, name := range []string{"ann", "ben"} {
		wg.Go(func() { w.runOperator(ctx, name) })
	}
	for _, d := range all {
		wg.Go(func() { w.inject(d) })
	}
	for ctx.Err() == nil {
		sleep(50 * time.Millisecond)
		w.checkAll()
	}
	wg.Wait()
	w.healAndCheck()
	for _, p := range w.procs {
		p.stop()
	}
	for _, p := range w.procs {
		p.done.Wait()
	}
	sleep(time.Minute) // until the last late message has arrived
}

// healAndCheck ends the loss of messages and checks that all instances agree with
// the store.
func (w *world) healAndCheck() {
	w.mu.Lock()
	w.lossy = false
	w.mu.Unlock()
	sleep(20 * time.Second)
	w.checkAll()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.procs {
		if p.dead {
			continue
		}
		for key, o := range p.node.Current().orders {
			stored, err := decodeOrder(w.entries[prefix+key])
			if err != nil || compare(stored, o) != 0 {
				w.addViolation("after healing %s has %s at generation %d, the store at %d", p.self.ID, key, o.Generation, stored.Generation)
			}
		}
	}
}

func (w *world) inject(d injectedFault) {
	sleep(d.at)
	id := ids[d.instance]
	p := w.find(id)
	toggle := func(f func(on bool)) {
		for _, on := range []bool{true, false} {
			w.mu.Lock()
			f(on)
			for _, q := range w.procs {
				q.connectedSince = virtualClock.Now()
			}
			w.mu.Unlock()
			if on {
				sleep(d.duration)
			}
		}
	}
	switch d.kind {
	case "crash":
		p.stop()
		sleep(d.duration)
		w.start(id)
	case "cutPeers":
		toggle(func(on bool) { p.cutPeers = on })
	case "cutStore":
		toggle(func(on bool) { p.cutStore = on })
	case "storeOut":
		toggle(func(on bool) { w.storeOut = on })
	}
}

// runOperator takes zones out and brings them back at random, with the calls that
// ctl makes.
func (w *world) runOperator(ctx context.Context, name string) {
	for ctx.Err() == nil {
		sleep(w.delay(3 * time.Second))
		w.mu.Lock()
		p := w.procs[w.rng.IntN(len(w.procs))]
		zone := []string{"a", "b"}[w.rng.IntN(2)]
		out := w.rng.IntN(2) == 0
		up := !p.dead
		w.mu.Unlock()
		if up {
			w.order(ctx, p, name, zone, out)
		}
	}
}

func newOrder(expected uint64) operatorapi.TakeoutRequest {
	return operatorapi.TakeoutRequest{OrderID: uuid.Must(uuid.NewV7()).String(), ExpectedGeneration: expected}
}

func (w *world) order(ctx context.Context, p *proc, by, zone string, out bool) {
	call, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	orders := p.node.OperatorOrders(Zone)
	r := newOrder(p.node.Current().Find(Zone, zone).Generation)
	if !out {
		_, _ = orders.In(call, by, zone, r)
		return
	}
	s, err := orders.Out(call, by, zone, r)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	x := ackedOrder{Order: Order{Kind: Zone, Takeout: s.Takeout}, at: virtualClock.Now()}
	if compare(x.Order, w.acked[x.key()].Order) > 0 {
		w.acked[x.key()] = x
	}
}
