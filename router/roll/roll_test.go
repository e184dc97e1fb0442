package roll

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/operatorapi"
	"github.com/matryer/is"
)

// inFleet runs f with started instances and stops them after.
func inFleet(t *testing.T, size, zones int, f func(is *is.I, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		w.changed = make(chan struct{})
		for i := range size {
			w.start(fmt.Sprintf("i%03d", i+1), fmt.Sprintf("z%d", i%zones))
		}
		passes(10 * time.Second)
		f(is.New(t), w)
		for _, p := range w.procs {
			p.stop()
		}
		for _, p := range w.procs {
			p.done.Wait()
		}
		passes(time.Minute)
		for _, v := range w.violations {
			t.Error(v)
		}
	})
}

// until waits for a condition of the state.
func (w *world) until(most time.Duration, ok func(s State) bool) bool {
	for end := bubble.Now().Add(most); bubble.Now().Before(end); passes(10 * time.Millisecond) {
		w.mu.Lock()
		done := ok(w.state)
		w.mu.Unlock()
		if done {
			return true
		}
	}
	return false
}

func accepted(v uint64) func(s State) bool {
	return func(s State) bool {
		r, _ := s.Find(v)
		return r.Phase == operatorapi.Accepted
	}
}

// TestStoreCallsOfARoll counts the calls to the store and the messages of a
// roll at three sizes of the fleet.
func TestStoreCallsOfARoll(t *testing.T) {
	calls := map[int]int{}
	for _, size := range []int{5, 50, 150} {
		inFleet(t, size, 4, func(is *is.I, w *world) {
			ann := &operatorUser{w: w, name: "ann"}
			first, err := ann.rollOnce(context.Background())
			is.NoErr(err)
			is.True(w.until(20*time.Second, accepted(first)))
			w.mu.Lock()
			clear(w.calls)
			clear(w.messages)
			w.bytes = 0
			w.mu.Unlock()
			begin := bubble.Now()
			v, err := ann.rollOnce(context.Background())
			is.NoErr(err)
			is.True(w.until(7*time.Second, accepted(v)))
			w.mu.Lock()
			defer w.mu.Unlock()
			busiest := 0
			for _, n := range w.messages {
				busiest = max(busiest, n)
			}
			calls[size] = w.calls["get"] + w.calls["put"] + w.calls["list"] + w.calls["watch"]
			t.Logf("%d instances: store calls %d (%v) in %v of virtual time; bytes an instance %d, messages of the busiest %d",
				size, calls[size], w.calls, bubble.Now().Sub(begin), w.bytes/size, busiest)
		})
	}
	is.New(t).True(calls[150] <= 2*calls[5]) // the fleet is 30 times as large
}

// TestSilentInstanceHoldsARoll cuts an instance that the platform still lists.
func TestSilentInstanceHoldsARoll(t *testing.T) {
	inFleet(t, 5, 4, func(is *is.I, w *world) {
		p := w.procs[2]
		w.mu.Lock()
		p.cutAll, p.cutPeers = true, true
		w.mu.Unlock()
		v, err := (&operatorUser{w: w, name: "ann"}).rollOnce(context.Background())
		is.NoErr(err)
		is.True(!w.until(30*time.Second, accepted(v)))
		s, err := w.procs[4].node.Status(context.Background())
		is.NoErr(err)
		is.Equal(s.Rolling, v)
		is.Equal(s.InForce, uint64(0))
		is.Equal(len(s.Waiting), 1)
		is.Equal(s.Waiting[0].Instance, p.self.ID)
		is.True(strings.HasPrefix(s.Waiting[0].Reason, "neither acknowledged nor known gone"))
		p.stop() // the platform's list drops it after its lag
		is.True(w.until(30*time.Second, accepted(v)))
	})
}

// TestStartDuringAnOutage takes the bundle in force from others, the latest
// of those that a majority has, and serves nothing before.
func TestStartDuringAnOutage(t *testing.T) {
	for newest := range 4 {
		inFleet(t, 4, 4, func(is *is.I, w *world) {
			ann := &operatorUser{w: w, name: "ann"}
			v, err := ann.rollOnce(context.Background())
			is.NoErr(err)
			is.True(w.until(20*time.Second, accepted(v)))
			old := w.procs[0].node.inForce.Load()
			v, err = ann.rollOnce(context.Background())
			is.NoErr(err)
			is.True(w.until(20*time.Second, accepted(v)))
			for i, p := range w.procs {
				if i != newest {
					p.node.inForce.Store(old) // as if the decision had not reached it
				}
			}
			w.mu.Lock()
			w.storeOut = true
			w.mu.Unlock()
			p := w.start("i009", "z0")
			_, err = p.node.onApply(context.Background(), "i001", old.ref.WithSource(w.procs[0].self.ID)) // a late message
			is.True(err == nil || p.node.version() == 0)
			is.True(p.node.Ready() != nil)
			for p.node.Ready() != nil {
				passes(time.Millisecond)
			}
			is.Equal(p.node.version(), v)
		})
	}
}

// TestStartNeedsConfirmation starts an instance that cannot learn what is in
// force: it reaches nobody, or only a store that does not show it as registered.
func TestStartNeedsConfirmation(t *testing.T) {
	for _, storeUp := range []bool{false, true} {
		inFleet(t, 3, 3, func(is *is.I, w *world) {
			ann := &operatorUser{w: w, name: "ann"}
			v, err := ann.rollOnce(context.Background())
			is.NoErr(err)
			is.True(w.until(20*time.Second, accepted(v)))
			p := w.start("i009", "z0")
			w.mu.Lock()
			p.cutPeers, p.cutAll, p.unregistered = true, !storeUp, true
			w.mu.Unlock()
			p.node.inForce.Store(w.procs[0].node.inForce.Load()) // by a late message
			for range 100 {
				is.True(p.node.Ready() != nil)
				passes(100 * time.Millisecond)
			}
			w.mu.Lock()
			p.cutPeers, p.cutAll, p.unregistered = false, false, false
			w.mu.Unlock()
			passes(5 * time.Second)
			is.NoErr(p.node.Ready())
		})
	}
}

// TestContentOfAnotherDigestIsRefused lets an instance send another content
// than the one that was signed off.
func TestContentOfAnotherDigestIsRefused(t *testing.T) {
	inFleet(t, 2, 1, func(is *is.I, w *world) {
		v, err := (&operatorUser{w: w, name: "ann"}).rollOnce(context.Background())
		is.NoErr(err)
		is.True(w.until(20*time.Second, accepted(v)))
		n := w.procs[0].node
		ref := n.inForce.Load().ref
		forged, _, err := encode(bundle.Bundle{})
		is.NoErr(err)
		_, err = check(ref, forged)
		is.True(err != nil)
		r := w.procs[1].node.inForce.Load()
		w.procs[1].node.inForce.Store(&held{ref: r.ref, bundle: r.bundle, data: forged})
		fresh := w.start("i009", "z0")
		got, err := fresh.node.hold(context.Background(), ref.WithSource(w.procs[1].self.ID))
		is.NoErr(err) // taken from the store
		is.Equal(got.data.digest(), ref.Digest)
	})
}

// TestChangeOfOneTeamMovesFewParts measures what one change sends at the target
// size of 41,000 teams.
func TestChangeOfOneTeamMovesFewParts(t *testing.T) {
	is := is.New(t)
	var b bundle.Bundle
	is.NoErr(json.Unmarshal(sample(0, 1), &b))
	for i := range 41_000 {
		b.Teams = append(b.Teams, bundle.Team{
			ID: fmt.Sprintf("team-%05d", i), Tier: "gold", KeyHashes: []string{bundle.HashKey(fmt.Sprint(i))}, RatePerSecond: 5,
		})
	}
	before, _, err := encode(b)
	is.NoErr(err)
	b.Teams[20_000].RatePerSecond = 6
	after, _, err := encode(b)
	is.NoErr(err)
	is.Equal(string(join(after.parts())), string(after))
	have := map[partHash]bool{}
	for _, h := range before.manifest() {
		have[h] = true
	}
	moved, bytes := 0, 0
	for _, p := range after.parts() {
		is.True(len(p) <= maxPartBytes)
		if !have[hashPart(p)] {
			moved++
			bytes += len(p)
		}
	}
	manifest, err := json.Marshal(manifestAnswer{Parts: after.manifest()})
	is.NoErr(err)
	t.Logf("%d bytes in %d parts, manifest %d bytes; one change moves %d parts of %d bytes",
		len(after), len(after.parts()), len(manifest), moved, bytes)
	is.True(moved <= 3)
}
