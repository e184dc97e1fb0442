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

// injectedFault is one fault that a test run injects.
type injectedFault struct {
	at, duration time.Duration
	kind         string
	instance     int
}

var (
	faultKinds     = []string{"crash", "pause", "cutPeers", "cutStore", "cutBoth", "storeOut", "join", "joinCut"}
	joinFaultKinds = []string{"join", "joinCut", "joinCut"}

	ids = []string{"i1", "i2", "i3", "i4", "i5"}
)

const runLength = 25 * time.Second

func drawFaults(t *rapid.T, kinds []string, most int) []injectedFault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) injectedFault {
		return injectedFault{
			at:       time.Duration(rapid.IntRange(0, 20_000).Draw(t, "at")) * time.Millisecond,
			duration: time.Duration(rapid.IntRange(100, 12_000).Draw(t, "lasts")) * time.Millisecond,
			kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
			instance: rapid.IntRange(0, len(ids)-1).Draw(t, "instance"),
		}
	}), 0, most).Draw(t, "disturbances")
}

// TestRollProperty runs five instances of the real code and two concurrent
// operators through crashes, pauses, network partitions, joins, store outages,
// lost, late and repeated messages, and lost answers to writes.
func TestRollProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		all := drawFaults(rt, faultKinds, 8)
		runChecked(t, rt, func() []string { return run(newCluster(seed), all) })
	})
}

// TestRollJoinProperty starts instances throughout the run, with and without a
// connection to the store, while a slow store delays every step.
func TestRollJoinProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newCluster(rapid.Uint64().Draw(rt, "seed"))
		w.slowStore = 400 * time.Millisecond
		all := drawFaults(rt, joinFaultKinds, 12)
		runChecked(t, rt, func() []string { return run(w, all) })
	})
}

// runChecked runs f in a synctest bubble and reports the violations that it
// returns.
func runChecked(t *testing.T, rt *rapid.T, f func() []string) {
	var violations []string
	synctest.Test(t, func(*testing.T) { violations = f() })
	for _, v := range violations {
		rt.Error(v)
	}
}

// timeouts are shorter than most injected faults.
var timeouts = WithCallTimeouts(500*time.Millisecond, 1500*time.Millisecond)

func run(w *cluster, all []injectedFault) []string {
	w.lossy = true
	w.changed = make(chan struct{}) // synctest requires a channel of this bubble
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
		group.run(func() { w.injectFault(d) })
	}
	for ctx.Err() == nil {
		sleep(20 * time.Millisecond)
		w.mu.Lock()
		w.checkAll("at some time")
		w.mu.Unlock()
	}
	group.wait()
	w.checkRecovery()
	for _, p := range w.procs {
		p.stop()
	}
	for _, p := range w.procs {
		p.done.Wait()
	}
	sleep(time.Minute) // late messages are delivered until then
	return w.violations
}

// checkRecovery ends all faults and checks that the next rollout is accepted
// and in force on all instances.
func (w *cluster) checkRecovery() {
	w.mu.Lock()
	w.lossy, w.slowStore = false, 0
	w.mu.Unlock()
	sleep(15 * time.Second)
	last := &operatorUser{w: w, name: "ann", rate: 9000}
	v, err := last.rollOnce(context.Background())
	if err != nil {
		w.reportViolation("after healing: %v", err)
		return
	}
	sleep(10 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	r, _ := w.state.Find(v)
	if r.Phase != operatorapi.Accepted {
		w.reportViolation("after healing version %d is %s, %d in force, %d rolling", v, r.Phase, w.state.InForce, w.state.Rolling)
	}
	for _, p := range w.procs {
		if !p.dead && (p.node.Ready() != nil || p.node.version() != v) {
			w.reportViolation("after healing %s has version %d, %v", p.self.ID, p.node.version(), p.node.Ready())
		}
	}
}

// injectFault starts one fault at its time and ends it after its duration.
func (w *cluster) injectFault(d injectedFault) {
	sleep(d.at)
	id := ids[d.instance]
	p := w.find(id)
	setFor := func(f func(on bool)) {
		w.mu.Lock()
		f(true)
		w.mu.Unlock()
		sleep(d.duration)
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
		sleep(d.duration)
		w.start(id, p.self.Zone, timeouts)
	case "join":
		w.join()
	case "joinCut":
		p := w.join()
		setFor(func(on bool) { p.cutStore = on })
	case "pause":
		p.pause()
		sleep(d.duration)
		p.unpause()
	case "cutPeers":
		setFor(func(on bool) { p.cutPeers = on })
	case "cutStore":
		setFor(func(on bool) { p.cutStore = on })
	case "cutBoth":
		setFor(func(on bool) { p.cutStore, p.cutPeers = on, on })
	case "storeOut":
		setFor(func(on bool) { w.storeOut = on })
	}
}

// join starts an additional instance.
func (w *cluster) join() *proc {
	w.mu.Lock()
	w.joinCount++
	id := fmt.Sprintf("j%d", w.joinCount)
	w.mu.Unlock()
	return w.start(id, "z9", timeouts)
}

// operatorUser writes, signs off and rolls out versions as ctl does: it
// repeats a call without an answer with the same identifier on another
// instance.
type operatorUser struct {
	w    *cluster
	name string
	rate int
}

func (o *operatorUser) work(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = o.rollOnce(ctx)
		sleep(o.w.delay(3 * time.Second))
	}
}

// call tries f on up to six random instances.
func (o *operatorUser) call(ctx context.Context, f func(ctx context.Context, n *node) error) error {
	err := error(fault.New(fault.Internal, "no instance"))
	for range 6 {
		p := o.w.randomRunning()
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

// randomRunning returns a random running process, or nil.
func (w *cluster) randomRunning() *proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := slices.DeleteFunc(slices.Clone(w.procs), func(p *proc) bool { return p.dead || p.resume != nil })
	if len(running) == 0 {
		return nil
	}
	return running[w.rng.IntN(len(running))]
}

func newStep(digest string, expected uint64) operatorapi.StepRequest {
	return operatorapi.StepRequest{StepID: uuid.Must(uuid.NewV7()).String(), Digest: digest, ExpectedVersion: expected}
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
	write := operatorapi.WriteRequest{WriteID: uuid.Must(uuid.NewV7()).String(), Bundle: sample(st.InForce, o.rate)}
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
