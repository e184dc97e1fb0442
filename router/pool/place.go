package pool

import (
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
)

// reason says why a runner was chosen.
type reason uint8

const (
	reasonTwoChoice reason = iota
	reasonAffinity
	reasonOtherZone
	reasonOnlyFree
	reasonQueued
	reasonRoundRobin
	reasonLeastReported
)

var reasons = [...]string{
	reasonTwoChoice:     "cheaper of two in the zone",
	reasonAffinity:      "prompt prefix",
	reasonOtherZone:     "no place in the zone",
	reasonOnlyFree:      "first with a place",
	reasonQueued:        "place given back to the queue",
	reasonRoundRobin:    "next in turn",
	reasonLeastReported: "least reported load",
}

// place implements Place.
type place struct {
	p        *pools
	r        *runner
	g        *group
	paying   bool
	reason   reason
	released atomic.Bool

	// The fields below are guarded by r.mu and used only for free work.
	preempted    bool
	preemptedCh  chan struct{}
	newer, older *place
	// preemptor is the waiting ask for which the place was preempted, or nil.
	preemptor *waiter
}

func (pl *place) Runner() bundle.Runner { return *pl.r.desc.Load() }

func (pl *place) Reason() string { return reasons[pl.reason] }

func (pl *place) Check() error {
	if pl.r.disabled.Load() {
		return fault.New(fault.NoRunner, "runner %s takes no new work", pl.r.id)
	}
	if !pl.r.cold.Load() || !pl.p.cfg.admission {
		return nil
	}
	if pl.r.inFlight.Load() > pl.r.limit.Load() {
		return fault.New(fault.NoRunner, "runner %s turned cold", pl.r.id)
	}
	if !pl.p.viewValid(pl.p.now()) {
		return fault.New(fault.NoRunner, "the share of cold runner %s lapsed", pl.r.id)
	}
	return nil
}

func (pl *place) Preempted() <-chan struct{} {
	if pl.paying {
		return nil
	}
	pl.r.mu.Lock()
	defer pl.r.mu.Unlock()
	if pl.preemptedCh == nil {
		pl.preemptedCh = make(chan struct{})
		if pl.preempted {
			close(pl.preemptedCh)
		}
	}
	return pl.preemptedCh
}

func (pl *place) Release(res Result) {
	if !pl.released.CompareAndSwap(false, true) {
		return
	}
	r, now := pl.r, pl.p.now()
	r.mu.Lock()
	wasCold := r.cold.Load()
	r.recordResult(res, now)
	w := pl.unlink()
	r.updateLimits(pl.p.cfg, now)
	r.inFlight.Add(-1)
	r.mu.Unlock()
	pl.p.notifyCold(r, wasCold)
	if res.Ending == Completed {
		pl.g.latency.add(now, res.Latency)
	}
	if w != nil {
		w.pendingPreemptions.Add(-1)
	}
	pl.p.dispatch(r, now)
}

// link adds a free place to its runner's list.
func (pl *place) link() {
	if pl.paying {
		return
	}
	r := pl.r
	r.mu.Lock()
	defer r.mu.Unlock()
	pl.older = r.freePlaces
	if r.freePlaces != nil {
		r.freePlaces.newer = pl
	}
	r.freePlaces = pl
}

// unlink removes a free place from its runner's list and returns the ask for
// which it was preempted, or nil; r.mu is held.
func (pl *place) unlink() *waiter {
	if pl.paying {
		return nil
	}
	if pl.newer != nil {
		pl.newer.older = pl.older
	} else {
		pl.r.freePlaces = pl.older
	}
	if pl.older != nil {
		pl.older.newer = pl.newer
	}
	if pl.preempted {
		pl.r.preempting--
	} else {
		pl.r.extraHeadroom = max(0, pl.r.extraHeadroom-extraHeadroomDecay)
	}
	w := pl.preemptor
	pl.preemptor = nil
	return w
}

// rollBack gives back a place that was reserved but not returned to a caller.
func (pl *place) rollBack() {
	pl.r.mu.Lock()
	w := pl.unlink()
	pl.r.inFlight.Add(-1)
	pl.r.mu.Unlock()
	if w != nil {
		w.pendingPreemptions.Add(-1)
	}
}

// longestOrDefault returns d, or DefaultLongest if d is not positive.
func longestOrDefault(d time.Duration) time.Duration {
	if d <= 0 {
		return DefaultAttemptTimeout
	}
	return d
}
