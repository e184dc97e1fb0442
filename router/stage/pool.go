package stage

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
)

// Pool gathers the pieces of one service into batches. Each runner gets the
// next batch when it has answered the last one, so that pieces wait here, where
// they can still be ordered and dropped, and not at a runner.
type Pool struct {
	clk     clock.Clock
	runners Runners
	log     hclog.Logger
	service string
	// targets returns the runners that may get work, and batches what they
	// take.
	targets func() []*target.Target
	batches func() *routing.Batches
	// ctx ends the calls to runners.
	ctx   context.Context
	group sync.WaitGroup

	mu    sync.Mutex
	queue []*waiting
	// busy has the batches at each runner.
	busy map[*target.Target]int
	// rest has, for runners that refused or failed, when they are tried again.
	rest map[*target.Target]time.Time
}

// waiting is a piece in the queue.
type waiting struct {
	piece Piece
	order *Order
	since time.Time
	// tries counts the batches that it was part of.
	tries  int
	result Result
	done   func()
	// taken is set while the piece is part of a batch.
	taken bool
}

const (
	// maxTries bounds the batches that a piece is put in.
	maxTries = 3
	// refusedRest is how long a runner that refused a batch isn't tried: most
	// of the time that a call takes.
	refusedRest = 60 * time.Millisecond
	// failedRest is how long a runner that failed isn't tried.
	failedRest = 500 * time.Millisecond
	// callSlack is added to the expected time of a call until it counts as
	// lost.
	callSlack = 600 * time.Millisecond
	// depth is how many batches of this instance a runner has at a time.
	depth = 1
)

// Make puts the pieces into the queue and waits for them.
func (p *Pool) Make(ctx context.Context, o Order) []Result {
	var left sync.WaitGroup
	list := make([]*waiting, len(o.Pieces))
	now := p.clk.Now()
	for i, piece := range o.Pieces {
		left.Add(1)
		list[i] = &waiting{piece: piece, order: &o, since: now, done: left.Done}
	}
	p.mu.Lock()
	p.queue = append(p.queue, list...)
	p.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { p.abandon(list) })
	defer stop()
	p.Dispatch()
	left.Wait()
	results := make([]Result, len(list))
	for i, w := range list {
		results[i] = w.result
	}
	return results
}

// abandon drops the pieces that still wait. Those in a batch are made anyway.
func (p *Pool) abandon(list []*waiting) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue = slices.DeleteFunc(p.queue, func(w *waiting) bool {
		if !slices.Contains(list, w) {
			return false
		}
		p.end(w, Result{Failure: Abandoned})
		return true
	})
}

// end settles a piece. The caller holds mu or owns the piece.
func (p *Pool) end(w *waiting, r Result) {
	w.result = r
	w.done()
}

// Dispatch gives batches to the runners that are free.
func (p *Pool) Dispatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	limits := p.batches()
	if limits == nil || p.ctx.Err() != nil {
		p.fail(Refused)
		return
	}
	targets := p.targets()
	if len(targets) == 0 {
		p.fail(Refused)
		return
	}
	p.dropLate(limits)
	slices.SortStableFunc(p.queue, before)
	for len(p.queue) > 0 {
		t := p.free(targets)
		if t == nil {
			return
		}
		n := min(len(p.queue), limits.MaxPieces)
		batch := slices.Clone(p.queue[:n])
		p.queue = slices.Delete(p.queue, 0, n)
		p.busy[t]++
		p.group.Go(func() { p.run(t, limits, batch) })
	}
}

// fail settles all that waits. The caller holds mu.
func (p *Pool) fail(f Failure) {
	for _, w := range p.queue {
		p.end(w, Result{Failure: f})
	}
	p.queue = nil
}

// dropLate settles the pieces whose call can't be in time any more, even if a
// runner began at once. The caller holds mu.
func (p *Pool) dropLate(limits *routing.Batches) {
	soonest := p.clk.Now().Add(limits.CallTime + limits.PieceTime)
	p.queue = slices.DeleteFunc(p.queue, func(w *waiting) bool {
		if !soonest.Add(w.order.After).After(w.order.Until) {
			return false
		}
		p.end(w, Result{Failure: Late})
		return true
	})
}

// before orders the queue: urgent calls first, then those that came first.
func before(a, b *waiting) int {
	return cmp.Or(cmp.Compare(a.order.Rank, b.order.Rank), a.since.Compare(b.since))
}

// free returns the runner with the least work that may get a batch, or nil. The
// caller holds mu.
func (p *Pool) free(targets []*target.Target) *target.Target {
	now := p.clk.Now()
	var best *target.Target
	for _, t := range targets {
		if p.busy[t] >= depth || now.Before(p.rest[t]) {
			continue
		}
		if best == nil || p.busy[t] < p.busy[best] {
			best = t
		}
	}
	return best
}

// run passes one batch to a runner.
func (p *Pool) run(t *target.Target, limits *routing.Batches, batch []*waiting) {
	now := p.clk.Now()
	timed := make([]Timed, len(batch))
	for i, w := range batch {
		timed[i] = Timed{Piece: w.piece, Left: w.order.Until.Sub(now)}
	}
	expected := limits.CallTime + time.Duration(len(batch))*limits.PieceTime
	ctx, cancel := context.WithTimeout(p.ctx, time.Duration(1+limits.Queue)*expected+callSlack)
	defer cancel()
	_, ended := t.Begin(0)
	results, refused, err := p.runners.Run(ctx, t.Runner(), timed)
	ended()
	p.settle(t, batch, results, refused, err)
	p.Dispatch()
}

// settle notes the results and puts back what may be tried again.
func (p *Pool) settle(t *target.Target, batch []*waiting, results []Result, refused bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clk.Now()
	p.busy[t]--
	if p.busy[t] == 0 {
		delete(p.busy, t)
	}
	delete(p.rest, t)
	if err != nil {
		rest := failedRest
		if refused {
			rest = refusedRest
		}
		p.rest[t] = now.Add(rest)
		p.group.Go(func() {
			if p.clk.Sleep(p.ctx, rest) == nil {
				p.Dispatch()
			}
		})
		p.log.Debug("batch not made", "service", p.service, "runner", t.Runner().ID, "pieces", len(batch), "refused", refused, "error", err)
	}
	for i, w := range batch {
		r := Result{Failure: Lost}
		switch {
		case err == nil:
			r = results[i]
			r.Runner = t.Runner().ID
		case refused:
			r = Result{Failure: Refused}
		}
		if !refused {
			w.tries++
		}
		if again(r.Failure) && w.tries < maxTries {
			p.queue = append(p.queue, w)
			continue
		}
		p.end(w, r)
	}
}

// again reports whether a piece may be made elsewhere after this failure.
func again(f Failure) bool {
	return f == NoRoom || f == Failed || f == Refused || f == Lost
}
