package roll

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// disturbance is one fault of a run.
type disturbance struct {
	at, lasts time.Duration
	kind      string
	instance  int
}

var (
	kinds     = []string{"crash", "pause", "cutPeers", "cutStore", "cutBoth", "storeOut", "join", "joinCut"}
	joinKinds = []string{"join", "joinCut", "joinCut"}

	ids = []string{"i1", "i2", "i3", "i4", "i5"}
)

const runLength = 25 * time.Second

func drawDisturbances(t *rapid.T, kinds []string, most int) []disturbance {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) disturbance {
		return disturbance{
			at:       time.Duration(rapid.IntRange(0, 20_000).Draw(t, "at")) * time.Millisecond,
			lasts:    time.Duration(rapid.IntRange(100, 12_000).Draw(t, "lasts")) * time.Millisecond,
			kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
			instance: rapid.IntRange(0, len(ids)-1).Draw(t, "instance"),
		}
	}), 0, most).Draw(t, "disturbances")
}

// TestRollProperty drives five instances of the real code with two racing
// operators through crashes, pauses, cuts, joins, store outages, lost, late
// and repeated messages, and lost answers to writes.
func TestRollProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		all := drawDisturbances(rt, kinds, 8)
		runChecked(t, rt, func() []string { return run(newWorld(seed), all) })
	})
}

// TestRollJoinProperty lets instances join all the time, with and without the
// store, while a slow store stretches every step.
func TestRollJoinProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(rt, "seed"))
		w.slow = 400 * time.Millisecond
		all := drawDisturbances(rt, joinKinds, 12)
		runChecked(t, rt, func() []string { return run(w, all) })
	})
}

// runChecked runs f in a bubble and reports the violations that it returns.
func runChecked(t *testing.T, rt *rapid.T, f func() []string) {
	var violations []string
	synctest.Test(t, func(*testing.T) { violations = f() })
	for _, v := range violations {
		rt.Error(v)
	}
}

// timeouts are shorter than most of the disturbances.
var timeouts = WithCallTimeouts(500*time.Millisecond, 1500*time.Millisecond)

func run(w *world, all []disturbance) []string {
	w.lossy = true
	w.changed = make(chan struct{}) // of this bubble
	for i, id := range ids {
		w.start(id, fmt.Sprintf("z%d", i%4), timeouts)
	}
	ctx, cancel := context.WithTimeout(context.Background(), runLength)
	defer cancel()
	group := newGroup()
	for i, name := range []string{"ann", "ben"} {
		group.run(func() { (&operatorUser{w: w, name: name, rate: 1000 * (i + 1)}).work(ctx) })
	}
	for _, d := range all {
		group.run(func() { w.disturb(d) })
	}
	for ctx.Err() == nil {
		passes(20 * time.Millisecond)
		w.mu.Lock()
		w.checkAll("at some time")
		w.mu.Unlock()
	}
	group.wait()
	w.settle()
	for _, p := range w.procs {
		p.stop()
	}
	for _, p := range w.procs {
		p.done.Wait()
	}
	passes(time.Minute) // until the last late message
	return w.violations
}

// settle heals everything and checks that the next roll is accepted and in
// force everywhere.
func (w *world) settle() {
	w.mu.Lock()
	w.lossy, w.slow = false, 0
	w.mu.Unlock()
	passes(15 * time.Second)
	last := &operatorUser{w: w, name: "ann", rate: 9000}
	v, err := last.rollOnce(context.Background())
	if err != nil {
		w.breach("after healing: %v", err)
		return
	}
	passes(10 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	r, _ := w.state.Find(v)
	if r.Phase != operatorapi.Accepted {
		w.breach("after healing version %d is %s, %d in force, %d rolling", v, r.Phase, w.state.InForce, w.state.Rolling)
	}
	for _, p := range w.procs {
		if !p.dead && (p.node.Ready() != nil || p.node.version() != v) {
			w.breach("after healing %s has version %d, %v", p.self.ID, p.node.version(), p.node.Ready())
		}
	}
}

// disturb carries out one fault and ends it.
func (w *world) disturb(d disturbance) {
	passes(d.at)
	id := ids[d.instance]
	p := w.find(id)
	flip := func(f func(on bool)) {
		w.mu.Lock()
		f(true)
		w.mu.Unlock()
		passes(d.lasts)
		w.mu.Lock()
		f(false)
		w.mu.Unlock()
	}
	switch d.kind {
	case "crash":
		w.mu.Lock()
		dead := p.dead
		w.mu.Unlock()
		if dead {
			return
		}
		p.stop()
		passes(d.lasts)
		w.start(id, p.self.Zone, timeouts)
	case "join":
		w.join()
	case "joinCut":
		p := w.join()
		flip(func(on bool) { p.cutAll = on })
	case "pause":
		p.pause()
		passes(d.lasts)
		p.unpause()
	case "cutPeers":
		flip(func(on bool) { p.cutPeers = on })
	case "cutStore":
		flip(func(on bool) { p.cutAll = on })
	case "cutBoth":
		flip(func(on bool) { p.cutAll, p.cutPeers = on, on })
	case "storeOut":
		flip(func(on bool) { w.storeOut = on })
	}
}

// join starts another instance.
func (w *world) join() *proc {
	w.mu.Lock()
	w.joins++
	id := fmt.Sprintf("j%d", w.joins)
	w.mu.Unlock()
	return w.start(id, "z9", timeouts)
}

// operatorUser writes, signs off and rolls, as ctl does it: a call without an
// answer is repeated over another instance with the same identifier.
type operatorUser struct {
	w    *world
	name string
	rate int
}

func (o *operatorUser) work(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = o.rollOnce(ctx)
		passes(o.w.delay(3 * time.Second))
	}
}

// call tries f on one instance after the other.
func (o *operatorUser) call(ctx context.Context, f func(ctx context.Context, n *node) error) error {
	err := error(fault.New(fault.Internal, "no instance"))
	for range 6 {
		p := o.w.anyUp()
		if p == nil {
			return err
		}
		call, cancel := context.WithTimeout(ctx, 5*time.Second)
		err = f(call, p.node)
		cancel()
		if err == nil || fault.Is(err, fault.Conflict) || fault.Is(err, fault.Forbidden) {
			return err
		}
	}
	return err
}

// anyUp returns a process that runs, or nil.
func (w *world) anyUp() *proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	up := slices.DeleteFunc(slices.Clone(w.procs), func(p *proc) bool { return p.dead || p.resume != nil })
	if len(up) == 0 {
		return nil
	}
	return up[w.rng.IntN(len(up))]
}

func newStep(digest string, seen uint64) operatorapi.StepRequest {
	return operatorapi.StepRequest{Step: uuid.Must(uuid.NewV7()).String(), Digest: digest, Seen: seen}
}

func (o *operatorUser) rollOnce(ctx context.Context) (uint64, error) {
	var st operatorapi.BundleStatus
	err := o.call(ctx, func(ctx context.Context, n *node) (err error) {
		st, err = n.Status(ctx)
		return err
	})
	if err != nil {
		return 0, err
	}
	o.rate++
	write := operatorapi.WriteRequest{Write: uuid.Must(uuid.NewV7()).String(), Bundle: sample(st.InForce, o.rate)}
	var v operatorapi.Version
	err = o.call(ctx, func(ctx context.Context, n *node) (err error) {
		v, err = n.Write(ctx, o.name, write)
		return err
	})
	if err != nil {
		return 0, err
	}
	sign := newStep(v.Digest, st.InForce)
	err = o.call(ctx, func(ctx context.Context, n *node) error {
		_, err := n.Sign(ctx, "carol", v.Version, sign)
		return err
	})
	if err != nil {
		return 0, err
	}
	roll := newStep(v.Digest, st.InForce)
	return v.Version, o.call(ctx, func(ctx context.Context, n *node) error {
		_, err := n.Roll(ctx, o.name, v.Version, roll)
		return err
	})
}
