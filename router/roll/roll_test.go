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

// withCluster runs f with started instances and stops them afterwards.
func withCluster(t *testing.T, size, zones int, f func(is *is.I, w *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(1)
		w.changed = make(chan struct{})
		for i := range size {
			w.start(fmt.Sprintf("i%03d", i+1), fmt.Sprintf("z%d", i%zones))
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

// waitFor waits until ok holds for the state, for at most the given time.
func (w *cluster) waitFor(most time.Duration, ok func(s State) bool) bool {
	for end := virtualClock.Now().Add(most); virtualClock.Now().Before(end); sleep(10 * time.Millisecond) {
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

// TestStoreCallsOfARolloutDoNotGrowWithTheFleet counts the store calls and
// messages of rollouts at three fleet sizes. It guards against store calls that
// grow with the fleet.
func TestStoreCallsOfARolloutDoNotGrowWithTheFleet(t *testing.T) {
	// The random delays of the model spread the calls of a single rollout.
	const rollouts = 10
	calls := map[int]int{}
	for _, size := range []int{5, 50, 150} {
		withCluster(t, size, 4, func(is *is.I, w *cluster) {
			ann := &operatorUser{w: w, name: "ann"}
			first, err := ann.rollOnce(context.Background())
			is.NoErr(err)
			is.True(w.waitFor(20*time.Second, accepted(first)))
			for range rollouts {
				calls[size] += w.countRollout(t, is, ann)
			}
			t.Logf("%d instances: %d store calls in %d rollouts", size, calls[size], rollouts)
		})
	}
	is.New(t).True(calls[150] <= 2*calls[5]) // the fleet is 30 times as large
}

// countRollout carries out a rollout and returns the number of store calls.
func (w *cluster) countRollout(t *testing.T, is *is.I, user *operatorUser) int {
	w.mu.Lock()
	clear(w.calls)
	clear(w.messages)
	w.bytes = 0
	w.mu.Unlock()
	begin := virtualClock.Now()
	v, err := user.rollOnce(context.Background())
	is.NoErr(err)
	is.True(w.waitFor(7*time.Second, accepted(v)))
	w.mu.Lock()
	defer w.mu.Unlock()
	busiest := 0
	for _, n := range w.messages {
		busiest = max(busiest, n)
	}
	calls := w.calls["get"] + w.calls["put"] + w.calls["list"] + w.calls["watch"]
	t.Logf("%d instances: store calls %d (%v) in %v of virtual time; bytes an instance %d, messages of the busiest %d",
		len(w.procs), calls, w.calls, virtualClock.Now().Sub(begin), w.bytes/len(w.procs), busiest)
	return calls
}

// TestUnreachableInstanceBlocksARollout checks that a rollout waits for an
// unreachable instance as long as the platform lists it, and reports it as the
// blocker.
func TestUnreachableInstanceBlocksARollout(t *testing.T) {
	withCluster(t, 5, 4, func(is *is.I, w *cluster) {
		p := w.procs[2]
		w.mu.Lock()
		p.cutStore, p.cutPeers = true, true
		w.mu.Unlock()
		v, err := (&operatorUser{w: w, name: "ann"}).rollOnce(context.Background())
		is.NoErr(err)
		is.True(!w.waitFor(30*time.Second, accepted(v)))
		s, err := w.procs[4].node.Status(context.Background())
		is.NoErr(err)
		is.Equal(s.Rolling, v)
		is.Equal(s.InForce, uint64(0))
		is.Equal(len(s.Pending), 1)
		is.Equal(s.Pending[0].Instance, p.self.ID)
		is.True(strings.HasPrefix(s.Pending[0].Reason, "neither acknowledged nor known gone"))
		p.stop() // the platform's list drops it after its lag
		is.True(w.waitFor(30*time.Second, accepted(v)))
	})
}

// TestStartDuringAnOutage guards against an instance that serves an old bundle
// after a start during a store outage. The instance must get the latest
// version in force among the other instances, and must not be ready before.
func TestStartDuringAnOutage(t *testing.T) {
	for newest := range 4 {
		withCluster(t, 4, 4, func(is *is.I, w *cluster) {
			ann := &operatorUser{w: w, name: "ann"}
			v, err := ann.rollOnce(context.Background())
			is.NoErr(err)
			is.True(w.waitFor(20*time.Second, accepted(v)))
			old := w.procs[0].node.inForce.Load()
			v, err = ann.rollOnce(context.Background())
			is.NoErr(err)
			is.True(w.waitFor(20*time.Second, accepted(v)))
			for i, p := range w.procs {
				if i != newest {
					p.node.inForce.Store(old) // as if this instance had missed the decision
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
				sleep(time.Millisecond)
			}
			is.Equal(p.node.version(), v)
		})
	}
}

// TestStartNeedsConfirmation checks that an instance is not ready while it
// cannot confirm the version in force: it reaches no other instance, and the
// store is unreachable or does not show it as registered.
func TestStartNeedsConfirmation(t *testing.T) {
	for _, storeUp := range []bool{false, true} {
		withCluster(t, 3, 3, func(is *is.I, w *cluster) {
			ann := &operatorUser{w: w, name: "ann"}
			v, err := ann.rollOnce(context.Background())
			is.NoErr(err)
			is.True(w.waitFor(20*time.Second, accepted(v)))
			p := w.start("i009", "z0")
			w.mu.Lock()
			p.cutPeers, p.cutStore, p.unregistered = true, !storeUp, true
			w.mu.Unlock()
			p.node.inForce.Store(w.procs[0].node.inForce.Load()) // as by a late message
			for range 100 {
				is.True(p.node.Ready() != nil)
				sleep(100 * time.Millisecond)
			}
			w.mu.Lock()
			p.cutPeers, p.cutStore, p.unregistered = false, false, false
			w.mu.Unlock()
			sleep(5 * time.Second)
			is.NoErr(p.node.Ready())
		})
	}
}

// TestContentOfAnotherDigestIsRefused checks that a content other than the one
// signed off is rejected, and that a fetch falls back to the store if the
// source sends one.
func TestContentOfAnotherDigestIsRefused(t *testing.T) {
	withCluster(t, 2, 1, func(is *is.I, w *cluster) {
		v, err := (&operatorUser{w: w, name: "ann"}).rollOnce(context.Background())
		is.NoErr(err)
		is.True(w.waitFor(20*time.Second, accepted(v)))
		n := w.procs[0].node
		ref := n.inForce.Load().ref
		forged, _, err := encode(bundle.Bundle{})
		is.NoErr(err)
		_, err = verify(ref, forged)
		is.True(err != nil)
		r := w.procs[1].node.inForce.Load()
		w.procs[1].node.inForce.Store(&verifiedContent{ref: r.ref, bundle: r.bundle, data: forged})
		fresh := w.start("i009", "z0")
		got, err := fresh.node.getOrFetch(context.Background(), ref.WithSource(w.procs[1].self.ID))
		is.NoErr(err) // read from the store
		is.Equal(got.data.digest(), ref.Digest)
	})
}

// TestChangeOfOneTeamTransfersFewParts limits the parts that a change to one team
// transfers, at the target size of 41,000 teams.
func TestChangeOfOneTeamTransfersFewParts(t *testing.T) {
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
	is.Equal(string(concatParts(after.parts())), string(after))
	have := map[partHash]bool{}
	for _, h := range before.manifest() {
		have[h] = true
	}
	changedParts, bytes := 0, 0
	for _, p := range after.parts() {
		is.True(len(p) <= maxPartBytes)
		if !have[hashPart(p)] {
			changedParts++
			bytes += len(p)
		}
	}
	manifest, err := json.Marshal(manifestAnswer{Parts: after.manifest()})
	is.NoErr(err)
	t.Logf("%d bytes in %d parts, manifest %d bytes; one change moves %d parts of %d bytes",
		len(after), len(after.parts()), len(manifest), changedParts, bytes)
	is.True(changedParts <= 3)
}
