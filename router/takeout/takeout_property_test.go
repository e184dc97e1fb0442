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

type disturbance struct {
	at, lasts time.Duration
	kind      string
	instance  int
}

var (
	kinds = []string{"crash", "cutPeers", "cutStore", "storeOut"}
	ids   = []string{"i1", "i2", "i3", "i4", "i5"}
)

const runLength = 30 * time.Second

// TestTakeoutProperty lets two operators race over two zones, through crashes,
// cuts, store outages, lost, late and repeated messages, and lost answers to
// writes. Orders only get later, nothing comes in without the store, and an
// acknowledged order out is in force wherever it can be known.
func TestTakeoutProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(rt, "seed"))
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) disturbance {
			return disturbance{
				at:       time.Duration(rapid.IntRange(0, 25_000).Draw(t, "at")) * time.Millisecond,
				lasts:    time.Duration(rapid.IntRange(100, 15_000).Draw(t, "lasts")) * time.Millisecond,
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

func (w *world) run(all []disturbance) {
	w.lossy = true
	w.changed = make(chan struct{})
	for _, id := range ids {
		w.start(id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), runLength)
	defer cancel()
	var wg sync.WaitGroup
	for _, name := range []string{"ann", "ben"} {
		wg.Go(func() { w.operate(ctx, name) })
	}
	for _, d := range all {
		wg.Go(func() { w.disturb(d) })
	}
	for ctx.Err() == nil {
		passes(50 * time.Millisecond)
		w.checkAll()
	}
	wg.Wait()
	w.settle()
	for _, p := range w.procs {
		p.stop()
	}
	for _, p := range w.procs {
		p.done.Wait()
	}
	passes(time.Minute) // until the last late message
}

// settle heals everything and checks that all agree with the store.
func (w *world) settle() {
	w.mu.Lock()
	w.lossy = false
	w.mu.Unlock()
	passes(20 * time.Second)
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
				w.breach("after healing %s has %s at generation %d, the store at %d", p.self.ID, key, o.Generation, stored.Generation)
			}
		}
	}
}

func (w *world) disturb(d disturbance) {
	passes(d.at)
	id := ids[d.instance]
	p := w.find(id)
	flip := func(f func(on bool)) {
		for _, on := range []bool{true, false} {
			w.mu.Lock()
			f(on)
			for _, q := range w.procs {
				q.whole = bubble.Now()
			}
			w.mu.Unlock()
			if on {
				passes(d.lasts)
			}
		}
	}
	switch d.kind {
	case "crash":
		p.stop()
		passes(d.lasts)
		w.start(id)
	case "cutPeers":
		flip(func(on bool) { p.cutPeers = on })
	case "cutStore":
		flip(func(on bool) { p.cutStore = on })
	case "storeOut":
		flip(func(on bool) { w.storeOut = on })
	}
}

// operate orders zones out and in at random, as ctl does it.
func (w *world) operate(ctx context.Context, name string) {
	for ctx.Err() == nil {
		passes(w.delay(3 * time.Second))
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

func newOrder(seen uint64) operatorapi.TakeoutRequest {
	return operatorapi.TakeoutRequest{Order: uuid.Must(uuid.NewV7()).String(), Seen: seen}
}

func (w *world) order(ctx context.Context, p *proc, by, zone string, out bool) {
	call, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	orders := p.node.Of(Zone)
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
	x := ackedOrder{Order: Order{Kind: Zone, Takeout: s.Takeout}, at: bubble.Now()}
	if compare(x.Order, w.acked[x.key()].Order) > 0 {
		w.acked[x.key()] = x
	}
}
