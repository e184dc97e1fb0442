package stage

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/policy"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/target"
	"github.com/hashicorp/go-hclog"
)

// Pool gathers the pieces of one service into batches. Each runner gets the
// next batch when it has answered the last one, so that pieces wait here, where
// they can still be ordered and dropped, and not at a runner.
type Pool struct {
	clk     clock.Clock
	rules   policy.Policy
	runners Runners
	log     hclog.Logger
	service string
	// targets returns the runners that may get work, and batches what they
	// take.
	targets func() []*target.Target
	batches func() *routing.Batches
	// age returns for how long what is known of the runners may be out of date.
	age func() time.Duration
	// permit reports whether a runner may get one more call.
	permit func(*target.Target) bool
	// ctx ends the calls to runners.
	ctx   context.Context
	group sync.WaitGroup

	mu    sync.Mutex
	queue []*waiting
	// busy has the number of batches at each runner.
	busy map[*target.Target]int
	// rooms has what the results at each runner take.
	rooms map[*target.Target]*room
	// reserved has the orders that are expected, by identifier.
	reserved map[string]reserved
	// pace is that of the runners.
	pace pace
	// backoff has, for runners that refused or failed, when they are tried again.
	backoff map[*target.Target]time.Time
}

const (
	// maxTries bounds the batches that a piece is put in.
	maxTries = 3
	// refusedBackoff is how long a runner that refused a batch, or had no room for
	// a result, isn't tried: a part of the time that a call takes.
	refusedBackoff = 60 * time.Millisecond
	// failedBackoff is how long a runner that failed isn't tried.
	failedBackoff = 500 * time.Millisecond
	// askEvery is how often a runner is asked for its room at most: about once
	// a call.
	askEvery = 200 * time.Millisecond
	// askTimeout bounds such a question.
	askTimeout = 500 * time.Millisecond
	// callSlack is added to the expected time of a call until it counts as
	// lost.
	callSlack = 600 * time.Millisecond
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
	delete(p.reserved, o.ID)
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
	p.drop(Abandoned, func(w *waiting) bool { return slices.Contains(list, w) })
}

// drop settles waiting pieces with a failure. The caller holds mu.
func (p *Pool) drop(f Failure, which func(w *waiting) bool) {
	p.queue = slices.DeleteFunc(p.queue, func(w *waiting) bool {
		if !which(w) {
			return false
		}
		w.end(Result{Failure: f})
		return true
	})
}

// end settles a piece.
func (w *waiting) end(r Result) {
	w.result = r
	w.done()
}

// waits reports whether pieces wait.
func (p *Pool) waits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 0
}

// Dispatch gives batches to the runners that are idle.
func (p *Pool) Dispatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	limits, targets := p.batches(), p.targets()
	if limits == nil || len(targets) == 0 || p.ctx.Err() != nil {
		p.drop(Refused, func(*waiting) bool { return true })
		return
	}
	now := p.clk.Now()
	a := assembly{now: now, limits: limits}
	p.drop(Late, a.hopeless)
	idle := slices.DeleteFunc(slices.Clone(targets), func(t *target.Target) bool {
		return p.busy[t] >= limits.Slots || now.Before(p.backoff[t])
	})
	benches := make([]idleRunner, len(idle))
	for i, t := range idle {
		r := p.room(t)
		benches[i] = idleRunner{zone: t.Runner().Zone, room: r.left(limits.ResultRoom, now), vacant: r.empty()}
		if !p.rules.Rooms {
			benches[i].room = math.MaxInt64
			continue
		}
		if r.foreign > 0 && len(p.queue) > 0 {
			p.askRoom(t, limits)
		}
	}
	var taken [][]*waiting
	taken, p.queue = a.batches(p.queue, benches)
	if p.rules.DropOvertaken {
		p.dropOvertaken(a)
	}
	for i, batch := range taken {
		if len(batch) == 0 {
			continue
		}
		if !p.permit(idle[i]) {
			p.queue = append(p.queue, batch...)
			p.setAside(idle[i], true)
			continue
		}
		for _, w := range batch {
			w.order.begun = p.rules.BegunFirst
		}
		p.busy[idle[i]]++
		p.room(idle[i]).pending += sizeOf(batch)
		p.group.Go(func() { p.run(idle[i], limits, batch) })
	}
}

// dropOvertaken settles the pieces of late calls while others that are in time
// wait: they would not get a turn, and their inputs take the room that the stage
// before needs. The caller holds mu.
func (p *Pool) dropOvertaken(a assembly) {
	if !slices.ContainsFunc(p.queue, func(w *waiting) bool { return a.class(w) == inTime }) {
		return
	}
	p.drop(Late, func(w *waiting) bool {
		return a.class(w) == late && a.now.Sub(w.since) > a.callTime(a.limits.MaxPieces)
	})
}

// room returns what is known of a runner's room. The caller holds mu.
func (p *Pool) room(t *target.Target) *room {
	r := p.rooms[t]
	if r == nil {
		r = newRoom()
		p.rooms[t] = r
	}
	return r
}

// callsOf returns the identifiers of the calls whose pieces are in a batch.
func callsOf(batch []*waiting) []string {
	var out []string
	for _, w := range batch {
		if !slices.Contains(out, w.piece.Call) {
			out = append(out, w.piece.Call)
		}
	}
	return out
}

func sizeOf(batch []*waiting) int64 {
	var sum int64
	for _, w := range batch {
		sum += w.order.ResultBytes
	}
	return sum
}

// Freed notes that a runner was told to give results up.
func (p *Pool) Freed(t *target.Target, handles []string) {
	p.mu.Lock()
	r := p.rooms[t]
	if r != nil {
		for _, h := range handles {
			r.free(h)
		}
		if r.empty() {
			delete(p.rooms, t)
		}
	}
	p.mu.Unlock()
	p.Dispatch()
}

// run passes one batch to a runner.
func (p *Pool) run(t *target.Target, limits *routing.Batches, batch []*waiting) {
	now, age := p.clk.Now(), p.age()
	timed := make([]Timed, len(batch))
	for i, w := range batch {
		timed[i] = Timed{Piece: w.piece, Left: w.order.Until.Sub(now) - w.order.After}
	}
	expected := limits.CallTime + time.Duration(len(batch))*limits.PieceTime
	ctx, cancel := context.WithTimeout(p.ctx, time.Duration(1+limits.Queue)*expected+callSlack)
	defer cancel()
	usable := func() bool { return slices.Contains(p.targets(), t) }
	results, refused, err := p.runners.Run(ctx, t.Runner(), usable, timed)
	p.log.Info("batch", "service", p.service, "runner", t.Runner().ID, "zone", t.Runner().Zone, "pieces", len(batch), "requests", callsOf(batch),
		"waitedMillis", now.Sub(batch[0].since).Milliseconds(), "tookMillis", p.clk.Now().Sub(now).Milliseconds(), "viewMillis", age.Milliseconds(), "refused", refused, "error", err)
	p.settle(t, limits, batch, results, refused, err)
	p.Dispatch()
}

// settle notes the results and puts back what may be tried again.
func (p *Pool) settle(t *target.Target, limits *routing.Batches, batch []*waiting, results []Result, refused bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clk.Now()
	r := p.room(t)
	r.pending -= sizeOf(batch)
	p.busy[t]--
	if p.busy[t] == 0 {
		delete(p.busy, t)
	}
	delete(p.backoff, t)
	if err != nil {
		p.setAside(t, refused)
		p.log.Debug("batch not made", "service", p.service, "runner", t.Runner().ID, "pieces", len(batch), "refused", refused, "error", err)
	}
	full, done := false, 0
	for i, w := range batch {
		made := Result{Failure: Lost}
		switch {
		case err == nil:
			made = results[i]
		case refused:
			made = Result{Failure: Refused}
		}
		if made.Handle != "" {
			done++
			r.hold(made.Handle, w.order.ResultBytes, now.Add(limits.KeepFor))
		}
		full = full || made.Failure == NoRoom
		if made.Failure == Failed || made.Failure == Lost {
			w.tries++
		}
		if again(made.Failure) && w.tries < maxTries {
			p.queue = append(p.queue, w)
			continue
		}
		w.end(made)
	}
	p.pace.note(now, done, len(p.queue) >= limits.MaxPieces)
	if full {
		p.setAside(t, true)
		p.askRoom(t, limits)
	}
}

// askRoom asks a runner for its room, which results of former owners take too.
// The caller holds mu.
func (p *Pool) askRoom(t *target.Target, limits *routing.Batches) {
	now := p.clk.Now()
	r := p.room(t)
	if now.Sub(r.asked) < askEvery {
		return
	}
	r.asked = now
	p.group.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, askTimeout)
		defer cancel()
		free, err := p.runners.Room(ctx, t.Runner())
		if err != nil {
			p.log.Debug("room not known", "runner", t.Runner().ID, "error", err)
			return
		}
		p.mu.Lock()
		r.found(free, limits.ResultRoom, p.clk.Now().Add(limits.KeepFor))
		p.mu.Unlock()
		p.Dispatch()
	})
}

// setAside leaves a runner alone for a while. The caller holds mu.
func (p *Pool) setAside(t *target.Target, refused bool) {
	backoff := failedBackoff
	if refused {
		backoff = refusedBackoff
	}
	p.backoff[t] = p.clk.Now().Add(backoff)
	p.group.Go(func() {
		if p.clk.Sleep(p.ctx, backoff) == nil {
			p.Dispatch()
		}
	})
}

// again reports whether a piece may be made elsewhere after this failure.
func again(f Failure) bool {
	return f == NoRoom || f == Failed || f == Refused || f == Lost
}
