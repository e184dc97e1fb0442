package stage

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/detour"
	"cicadawell.dev/router/policy"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/shard"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
)

// Pool batches the pieces of one shard. A runner gets the next batch when it
// has answered the previous one, so that pieces are queued here, where they can
// still be reordered and dropped, and not on a runner.
type Pool struct {
	clk     clock.Clock
	rules   policy.Policy
	runners Runners
	log     hclog.Logger
	shard   shard.Shard
	// targets returns the runners that accept work, and limits the limits of their
	// batches.
	targets func() []*target.Target
	limits  func() *routing.Batches
	// snapshotAge returns how old the information about the runners may be.
	snapshotAge func() time.Duration
	// permit reports whether a runner may get one more batch, and takes the permit
	// of a cold runner, whose calls are rate limited.
	permit func(*target.Target) bool
	// admit reports whether a runner accepts a call now, and counts it against the limit
	// that the runner named.
	admit func(*target.Target) bool
	// candidate reports whether a rollout moves work to a runner's version by and by,
	// and whether the runner may get a batch now.
	candidate func(*target.Target) (candidate, credit bool)
	rollouts  Rollouts
	paths     Paths
	// hold records that a result is needed until it is freed, or expires.
	hold func(t *target.Target, handle string, begun, expiresAt time.Time)
	// ctx cancels the requests to runners.
	ctx   context.Context
	group sync.WaitGroup
	// path ends with ctx, or when this instance is found to be cut off from the runners.
	path path

	mu    sync.Mutex
	queue []*queuedPiece
	// inFlight counts the batches in flight at each runner.
	inFlight map[*target.Target]int
	// memory tracks the result memory of each runner.
	memory map[*target.Target]*resultMemory
	// reserved has the reserved orders that have not arrived yet, by identifier.
	reserved map[string]pendingOrder
	// throughput is that of all runners together.
	throughput throughput
	// backoffUntil has the end of the backoff of runners that refused or failed.
	backoffUntil map[*target.Target]time.Time
}

const (
	// maxAttempts bounds the failed attempts to make a piece.
	maxAttempts = 3
	// refusedBackoff is the backoff of a runner that refused a batch, had no memory for
	// a result, or wasn't reached by a cut-off instance: a fraction of the duration of a
	// batch.
	refusedBackoff = 60 * time.Millisecond
	// failedBackoff is the backoff of a runner that failed.
	failedBackoff = 500 * time.Millisecond
	// memoryQueryInterval is the minimum time between two queries of a runner's
	// free memory: about the duration of a batch.
	memoryQueryInterval = 200 * time.Millisecond
	// memoryQueryTimeout bounds such a query.
	memoryQueryTimeout = 500 * time.Millisecond
	// batchTimeoutMargin is added to the expected duration of a batch, after which
	// it counts as lost.
	batchTimeoutMargin = 600 * time.Millisecond
)

// Make queues the pieces of an order and waits for their results.
func (p *Pool) Make(ctx context.Context, o Order) []Result {
	var unfinished sync.WaitGroup
	queued := make([]*queuedPiece, o.Pieces)
	now := p.clk.Now()
	for i := range queued {
		unfinished.Add(1)
		queued[i] = &queuedPiece{piece: o.piece(i), order: &o, enqueuedAt: now, done: unfinished.Done}
	}
	p.mu.Lock()
	p.queue = append(p.queue, queued...)
	delete(p.reserved, o.ID)
	p.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { p.abandon(queued) })
	defer stop()
	p.Dispatch()
	unfinished.Wait()
	results := make([]Result, len(queued))
	for i, w := range queued {
		results[i] = w.result
	}
	return results
}

// abandon drops the pieces that are still queued. Those in a batch are made
// anyway.
func (p *Pool) abandon(queued []*queuedPiece) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(Abandoned, func(w *queuedPiece) bool { return slices.Contains(queued, w) })
}

// drop removes the matching pieces from the queue and completes them with a
// failure. The caller holds mu.
func (p *Pool) drop(f Failure, match func(w *queuedPiece) bool) {
	p.queue = slices.DeleteFunc(p.queue, func(w *queuedPiece) bool {
		if !match(w) {
			return false
		}
		w.complete(Result{Failure: f})
		return true
	})
}

// complete sets the result of a piece and signals that it is done.
func (w *queuedPiece) complete(r Result) {
	w.result = r
	w.done()
}

// hasQueued reports whether pieces are queued.
func (p *Pool) hasQueued() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 0
}

// Dispatch sends batches to the idle runners.
func (p *Pool) Dispatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.dispatch() {
	}
}

// dispatch sends batches to the idle runners. It reports whether pieces are queued
// again because a rollout left their runner no batch, so that others may get them. The
// caller holds mu.
func (p *Pool) dispatch() (again bool) {
	limits, targets := p.limits(), p.targets()
	if limits == nil || !p.mayReach(targets) {
		p.drop(Refused, func(*queuedPiece) bool { return true })
		return false
	}
	now := p.clk.Now()
	a := assembler{now: now, limits: limits}
	p.drop(Late, assembler{now: now.Add(shortestPause(targets, now)), limits: limits}.missesDeadline)
	idle := p.idle(targets, limits, now)
	candidates := make([]idleRunner, len(idle))
	for i, t := range idle {
		r := p.memoryOf(t)
		candidates[i] = idleRunner{zone: t.Runner().Zone, freeBytes: r.freeBytes(limits.ResultRoom, now), empty: r.empty()}
		if !p.rules.CheckResultMemory {
			candidates[i].freeBytes = math.MaxInt64
			continue
		}
		if r.otherBytes > 0 && len(p.queue) > 0 {
			p.queryMemory(t, limits)
		}
	}
	var batches [][]*queuedPiece
	batches, p.queue = a.assemble(p.queue, candidates)
	if p.rules.DropLateOrders {
		p.dropLateOrders(a)
	}
	for i, batch := range batches {
		if len(batch) == 0 {
			continue
		}
		if !p.permit(idle[i]) {
			p.queue = append(p.queue, batch...)
			p.suspend(idle[i], true)
			again = again || p.lacksCredit(idle[i])
			continue
		}
		for _, w := range batch {
			w.order.started = p.rules.FinishStartedFirst
		}
		p.inFlight[idle[i]]++
		p.memoryOf(idle[i]).inFlightBytes += resultBytes(batch)
		p.group.Go(func() { p.run(idle[i], limits, batch) })
	}
	return again
}

// mayReach reports whether there is one of the runners that a batch may reach now.
func (p *Pool) mayReach(targets []*target.Target) bool {
	return len(targets) > 0 && p.ctx.Err() == nil && p.paths.Reachable()
}

// idle returns the runners that may get a batch now, the least slowed ones first, as
// they get the most urgent pieces. Those of a version that a rollout
// moves work to come first, as they get no more than their share. The caller holds mu.
func (p *Pool) idle(targets []*target.Target, limits *routing.Batches, now time.Time) []*target.Target {
	var candidates, others []*target.Target
	for _, t := range targets {
		if p.inFlight[t] >= limits.Slots || now.Before(p.backoffUntil[t]) || t.PausedFor(now) > 0 {
			continue
		}
		switch candidate, credit := p.candidate(t); {
		case !candidate:
			others = append(others, t)
		case credit:
			candidates = append(candidates, t)
		}
	}
	leastSlowed := func(a, b *target.Target) int { return cmp.Compare(a.Slowdown(now), b.Slowdown(now)) }
	slices.SortStableFunc(candidates, leastSlowed)
	slices.SortStableFunc(others, leastSlowed)
	return append(candidates, others...)
}

// lacksCredit reports whether a rollout leaves a runner no batch now.
func (p *Pool) lacksCredit(t *target.Target) bool {
	_, credit := p.candidate(t)
	return !credit
}

// shortestPause returns the time until one of the runners isn't paused.
func shortestPause(targets []*target.Target, now time.Time) time.Duration {
	shortest := targets[0].PausedFor(now)
	for _, t := range targets[1:] {
		shortest = min(shortest, t.PausedFor(now))
	}
	return shortest
}

// dropLateOrders drops the pieces of late calls while others that are on time
// are queued. The late ones would not be run, and their inputs occupy result
// memory that the previous stage needs. The caller holds mu.
func (p *Pool) dropLateOrders(a assembler) {
	if !slices.ContainsFunc(p.queue, func(w *queuedPiece) bool { return a.class(w) == classOnTime }) {
		return
	}
	p.drop(Late, func(w *queuedPiece) bool {
		return a.class(w) == classLate && a.now.Sub(w.enqueuedAt) > a.batchTime(a.limits.MaxPieces)
	})
}

// memoryOf returns the tracked result memory of a runner. The caller holds mu.
func (p *Pool) memoryOf(t *target.Target) *resultMemory {
	r := p.memory[t]
	if r == nil {
		r = newResultMemory()
		p.memory[t] = r
	}
	return r
}

// callIDs returns the identifiers of the calls whose pieces are in a batch.
func callIDs(batch []*queuedPiece) []string {
	var out []string
	for _, w := range batch {
		if !slices.Contains(out, w.piece.Call) {
			out = append(out, w.piece.Call)
		}
	}
	return out
}

func resultBytes(batch []*queuedPiece) int64 {
	var sum int64
	for _, w := range batch {
		sum += w.order.ResultBytes
	}
	return sum
}

// RemoveResults removes results from the tracked memory of the runner that
// freed them.
func (p *Pool) RemoveResults(t *target.Target, handles []string) {
	p.mu.Lock()
	r := p.memory[t]
	if r != nil {
		for _, h := range handles {
			r.remove(h)
		}
		if r.empty() {
			delete(p.memory, t)
		}
	}
	p.mu.Unlock()
	p.Dispatch()
}

// run sends one batch to a runner and handles its outcome.
func (p *Pool) run(t *target.Target, limits *routing.Batches, batch []*queuedPiece) {
	now, snapshotAge := p.clk.Now(), p.snapshotAge()
	timed := make([]Timed, len(batch))
	for i, w := range batch {
		timed[i] = Timed{Piece: w.piece, Left: w.order.Deadline.Sub(now) - w.order.MinRemaining}
	}
	expected := limits.CallTime + time.Duration(len(batch))*limits.PieceTime
	ctx, cancel := context.WithTimeout(p.path.context(), time.Duration(1+limits.Queue)*expected+batchTimeoutMargin)
	defer cancel()
	defer t.Begin(false)()
	runner := t.Runner()
	usable := func() bool { return slices.Contains(p.targets(), t) && p.admit(t) }
	slowdown := t.Slowdown(now)
	results, refused, err := p.runners.Run(ctx, runner, usable, timed)
	p.log.Info("batch", "service", p.shard.Service, "runner", runner.ID, "zone", runner.Zone, "version", runner.Version, "pieces", len(batch), "requests", callIDs(batch),
		"waitedMillis", now.Sub(batch[0].enqueuedAt).Milliseconds(), "tookMillis", p.clk.Now().Sub(now).Milliseconds(), "viewMillis", snapshotAge.Milliseconds(), "slowdown", slowdown, "refused", refused, "error", err)
	// Without a way to the runners an error says nothing about this one.
	refused = refused || errors.Is(err, detour.ErrCutOff)
	cutOff := err != nil && p.paths.CutOff()
	if !refused && !cutOff && p.ctx.Err() == nil {
		p.report(runner, results, err, now, expected)
	}
	p.holdResults(t, limits, results, now)
	p.settle(t, limits, batch, results, outcome{refused: refused, cutOff: cutOff, err: err})
	p.Dispatch()
}

// outcome is how a batch ended.
type outcome struct {
	// refused is set if the runner accepted nothing of the batch, cutOff if this instance
	// is cut off from the runners. Both have an error.
	refused, cutOff bool
	err             error
}

// result returns the result of the i-th piece.
func (o outcome) result(results []Result, i int) Result {
	switch {
	case o.err == nil:
		return results[i]
	case o.refused:
		return Result{Failure: Refused}
	}
	return Result{Failure: Lost}
}

// settle records the results of a batch and requeues the pieces that may be
// retried.
func (p *Pool) settle(t *target.Target, limits *routing.Batches, batch []*queuedPiece, results []Result, o outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clk.Now()
	r := p.memoryOf(t)
	r.inFlightBytes -= resultBytes(batch)
	p.inFlight[t]--
	if p.inFlight[t] == 0 {
		delete(p.inFlight, t)
	}
	delete(p.backoffUntil, t)
	if o.err != nil {
		p.suspend(t, o.refused || o.cutOff)
		p.log.Debug("batch failed", "service", p.shard.Service, "runner", t.Runner().ID, "pieces", len(batch), "refused", o.refused, "error", o.err)
	}
	outOfMemory, succeeded := false, 0
	for i, w := range batch {
		result := o.result(results, i)
		if result.Handle != "" {
			succeeded++
			r.add(result.Handle, w.order.ResultBytes, now.Add(limits.KeepFor))
		}
		outOfMemory = outOfMemory || result.Failure == OutOfMemory
		if !o.cutOff && (result.Failure == Failed || result.Failure == Lost) {
			w.attempts++
		}
		if retryable(result.Failure) && w.attempts < maxAttempts {
			p.queue = append(p.queue, w)
			continue
		}
		w.complete(result)
	}
	p.throughput.record(now, succeeded, len(p.queue) >= limits.MaxPieces)
	if outOfMemory {
		p.suspend(t, true)
		p.queryMemory(t, limits)
	}
}

// queryMemory asks a runner for its free memory, since results of former
// owners, which aren't tracked here, occupy some of it. Runners with a limit aren't asked:
// the calls that they take are for batches. The caller holds mu.
func (p *Pool) queryMemory(t *target.Target, limits *routing.Batches) {
	now := p.clk.Now()
	r := p.memoryOf(t)
	if now.Sub(r.queriedAt) < memoryQueryInterval || t.PausedFor(now) > 0 || t.Limited() {
		return
	}
	r.queriedAt = now
	p.group.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, memoryQueryTimeout)
		defer cancel()
		free, err := p.runners.FreeBytes(ctx, t.Runner())
		if err != nil {
			p.log.Debug("free memory of a runner unknown", "runner", t.Runner().ID, "error", err)
			return
		}
		p.mu.Lock()
		r.observe(free, limits.ResultRoom, p.clk.Now().Add(limits.KeepFor))
		p.mu.Unlock()
		p.Dispatch()
	})
}

// suspend excludes a runner from dispatch for the backoff. The caller holds mu.
func (p *Pool) suspend(t *target.Target, short bool) {
	backoff := failedBackoff
	if short {
		backoff = refusedBackoff
	}
	p.backoffUntil[t] = p.clk.Now().Add(backoff)
	p.group.Go(func() {
		if p.clk.Sleep(p.ctx, backoff) == nil {
			p.Dispatch()
		}
	})
}

// retryable reports whether a piece may be retried after this failure.
func retryable(f Failure) bool {
	return f == OutOfMemory || f == Failed || f == Refused || f == Lost
}
