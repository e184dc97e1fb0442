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
	p      *pools
	r      *runner
	g      *group
	paying bool
	reason reason
	done   atomic.Bool

	// The fields below are guarded by r.mu and used for free work alone.
	displaced    bool
	displacedCh  chan struct{}
	newer, older *place
	// beneficiary is the ask for which the place was displaced, or nil.
	beneficiary *waiter
}

func (pl *place) Runner() bundle.Runner { return *pl.r.desc.Load() }

func (pl *place) Reason() string { return reasons[pl.reason] }

func (pl *place) Check() error {
	if pl.r.out.Load() {
		return fault.New(fault.NoRunner, "runner %s takes no new work", pl.r.id)
	}
	if !pl.r.cold.Load() || !pl.p.cfg.admission {
		return nil
	}
	if pl.r.total.Load() > pl.r.limit.Load() {
		return fault.New(fault.NoRunner, "runner %s turned cold", pl.r.id)
	}
	if !pl.p.holds(pl.p.now()) {
		return fault.New(fault.NoRunner, "the share of cold runner %s lapsed", pl.r.id)
	}
	return nil
}

func (pl *place) Displaced() <-chan struct{} {
	if pl.paying {
		return nil
	}
	pl.r.mu.Lock()
	defer pl.r.mu.Unlock()
	if pl.displacedCh == nil {
		pl.displacedCh = make(chan struct{})
		if pl.displaced {
			close(pl.displacedCh)
		}
	}
	return pl.displacedCh
}

func (pl *place) Done(res Result) {
	if !pl.done.CompareAndSwap(false, true) {
		return
	}
	r, now := pl.r, pl.p.now()
	r.mu.Lock()
	before := r.cold.Load()
	r.ended(res, now)
	w := pl.unlink()
	r.setLimits(pl.p.cfg, now)
	r.total.Add(-1)
	r.mu.Unlock()
	pl.p.sign(r, before)
	if res.Ending == Completed {
		pl.g.latency.add(now, res.Latency)
	}
	if w != nil {
		w.victims.Add(-1)
	}
	pl.p.dispatch(r, now)
}

// link puts free work on its runner's list.
func (pl *place) link() {
	if pl.paying {
		return
	}
	r := pl.r
	r.mu.Lock()
	defer r.mu.Unlock()
	pl.older = r.free
	if r.free != nil {
		r.free.newer = pl
	}
	r.free = pl
}

// unlink takes free work off the list and returns the ask for which it was
// displaced; r.mu is held.
func (pl *place) unlink() *waiter {
	if pl.paying {
		return nil
	}
	if pl.newer != nil {
		pl.newer.older = pl.older
	} else {
		pl.r.free = pl.older
	}
	if pl.older != nil {
		pl.older.newer = pl.newer
	}
	if pl.displaced {
		pl.r.displacing--
	} else {
		pl.r.extra = max(0, pl.r.extra-extraDecay)
	}
	w := pl.beneficiary
	pl.beneficiary = nil
	return w
}

// undo gives back a place that was never handed out.
func (pl *place) undo() {
	pl.r.mu.Lock()
	w := pl.unlink()
	pl.r.total.Add(-1)
	pl.r.mu.Unlock()
	if w != nil {
		w.victims.Add(-1)
	}
}

// longest returns d, or DefaultLongest for zero.
func longest(d time.Duration) time.Duration {
	if d <= 0 {
		return DefaultLongest
	}
	return d
}
