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
	// reasonTwoChoice is also given for the dearer of the two if the cheaper one
	// was not available.
	reasonTwoChoice reason = iota
	reasonAffinity
	reasonOtherZone
	// reasonFirstAvailable is given in this zone and in others.
	reasonFirstAvailable
	reasonQueued
	reasonRoundRobin
	reasonLeastReported
)

var reasons = [...]string{
	reasonTwoChoice:      "cheaper of two in the zone",
	reasonAffinity:       "prompt prefix",
	reasonOtherZone:      "no place in the zone",
	reasonFirstAvailable: "first with a place",
	reasonQueued:         "place given back to the queue",
	reasonRoundRobin:     "next in turn",
	reasonLeastReported:  "least reported load",
}

// slot implements Slot.
type slot struct {
	p        *pools
	r        *runner
	g        *group
	paying   bool
	reason   reason
	released atomic.Bool

	// The fields below are guarded by r.mu and used only for free work.
	preempted    bool
	preemptedCh  chan struct{}
	newer, older *slot
	// preemptor is the waiting request for which the slot was preempted, or
	// nil.
	preemptor *waiter
}

func (pl *slot) Runner() bundle.Runner { return *pl.r.desc.Load() }

func (pl *slot) Reason() string { return reasons[pl.reason] }

func (pl *slot) Check() error {
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

func (pl *slot) Preempted() <-chan struct{} {
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

func (pl *slot) Release(res Result) {
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

// link adds a free-tier slot to its runner's list.
func (pl *slot) link() {
	if pl.paying {
		return
	}
	r := pl.r
	r.mu.Lock()
	defer r.mu.Unlock()
	pl.older = r.freeTierSlots
	if r.freeTierSlots != nil {
		r.freeTierSlots.newer = pl
	}
	r.freeTierSlots = pl
}

// unlink removes a free-tier slot from its runner's list and returns the
// request for which it was preempted, or nil; r.mu is held.
func (pl *slot) unlink() *waiter {
	if pl.paying {
		return nil
	}
	if pl.newer != nil {
		pl.newer.older = pl.older
	} else {
		pl.r.freeTierSlots = pl.older
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

// rollBack gives back a slot that was reserved but not returned to a caller.
func (pl *slot) rollBack() {
	pl.r.mu.Lock()
	w := pl.unlink()
	pl.r.inFlight.Add(-1)
	pl.r.mu.Unlock()
	if w != nil {
		w.pendingPreemptions.Add(-1)
	}
}

// attemptTimeoutOrDefault returns d, or DefaultAttemptTimeout if d is not
// positive.
func attemptTimeoutOrDefault(d time.Duration) time.Duration {
	if d <= 0 {
		return DefaultAttemptTimeout
	}
	return d
}
