package stage

import (
	"maps"
	"slices"
	"time"

	"cicadawell.dev/router/target"
)

// pendingOrder is a reserved order that has not arrived yet.
type pendingOrder struct {
	pieces int
	rank   int
	due    time.Time
	// expiresAt is when the reservation expires if the order has not arrived.
	expiresAt time.Time
}

const (
	// fillRatio is how full batches are under load, relative to their maximum
	// number of pieces.
	fillRatio = 0.9
	// reservationGrace is how long a reservation is kept after the earliest time
	// at which its order can arrive.
	reservationGrace = 2 * time.Second
)

// forecast estimates when a reserved order would run. Under overload, each
// order that is accepted beyond the capacity of the runners makes others late,
// so it is refused before any work is done for it. The caller holds mu.
func (p *Pool) forecast(a Reservation) Forecast {
	limits, targets := p.limits(), p.mainTargets()
	if limits == nil || len(targets) == 0 {
		return Forecast{Refused: true, Wait: failedBackoff}
	}
	now := p.clk.Now()
	asm := assembler{now: now, limits: limits}
	piecesAhead := a.Pieces
	var longestWait time.Duration
	for _, w := range p.queue {
		if w.order.Rank <= a.Rank && asm.class(w) != classLate {
			piecesAhead++
			longestWait = max(longestWait, now.Sub(w.enqueuedAt))
		}
	}
	for _, o := range p.reserved {
		if !now.After(o.expiresAt) && o.rank <= a.Rank {
			piecesAhead += o.pieces
		}
	}
	fullBatchTime := asm.batchTime(limits.MaxPieces)
	pause := shortestPause(targets, now)
	perSecond := fillRatio * workingRunners(targets, now, pause > 0) * float64(limits.Slots*limits.MaxPieces) / fullBatchTime.Seconds()
	if p.rules.MeasuredThroughput {
		perSecond = p.throughput.estimate(now, perSecond)
	}
	wait := pause + time.Duration(float64(piecesAhead)/perSecond*float64(time.Second))
	// Runners may complete less than their batch limits allow if result memory or
	// inputs are lacking. The longest wait in the queue exceeds the computed one
	// then.
	wait = max(wait, longestWait)
	start := now.Add(wait)
	if a.EarliestArrival.After(start) {
		start = a.EarliestArrival
	}
	// An order that would be late even without a queue is not refused.
	tooLate := start.Add(fullBatchTime + a.MinRemaining).After(a.Due)
	return Forecast{Refused: tooLate && wait > fullBatchTime, Wait: wait}
}

// mainTargets returns the runners that complete most of the work: those of a version
// that a rollout gives only a share of the batches don't count.
func (p *Pool) mainTargets() []*target.Target {
	targets := p.targets()
	main := slices.DeleteFunc(slices.Clone(targets), func(t *target.Target) bool {
		candidate, _ := p.candidate(t)
		return candidate
	})
	if len(main) == 0 {
		return targets
	}
	return main
}

// workingRunners returns how many runners work, each divided by its slowdown. Paused
// ones are counted only if all are paused.
func workingRunners(targets []*target.Target, now time.Time, allPaused bool) float64 {
	n := 0.0
	for _, t := range targets {
		if allPaused || t.PausedFor(now) == 0 {
			n += 1 / t.Slowdown(now)
		}
	}
	return n
}

// Reserve reserves a place in the queue for an order unless it would be late.
func (p *Pool) Reserve(a Reservation) Forecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clk.Now()
	maps.DeleteFunc(p.reserved, func(_ string, o pendingOrder) bool { return now.After(o.expiresAt) })
	f := p.forecast(a)
	if !f.Refused {
		p.reserved[a.ID] = pendingOrder{pieces: a.Pieces, rank: a.Rank, due: a.Due, expiresAt: a.EarliestArrival.Add(reservationGrace)}
	}
	return f
}

// Cancel releases the reservation of an order.
func (p *Pool) Cancel(order string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.reserved, order)
}
