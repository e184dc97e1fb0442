package stage

import (
	"cmp"
	"slices"
	"time"

	"cicadawell.dev/router/routing"
)

// waiting is a piece in the queue of a pool.
type waiting struct {
	piece Piece
	order *Order
	since time.Time
	// tries counts the batches that it was part of.
	tries  int
	result Result
	done   func()
}

// zoneWait is how long a piece waits for a runner of the zone in which its
// result is wanted: a fraction of a call.
const zoneWait = 140 * time.Millisecond

// idleRunner is a runner that may get a batch now.
type idleRunner struct {
	zone string
	// room is how many bytes of results fit.
	room int64
	// vacant is set if the runner holds no results at all.
	vacant bool
}

// takes reports whether the result of a piece fits beside a batch. A result
// that is larger than any room is tried where there is nothing else.
func (b idleRunner) takes(batch []*waiting, w *waiting) bool {
	sum := w.order.ResultBytes
	for _, o := range batch {
		sum += o.order.ResultBytes
	}
	return sum <= b.room || (b.vacant && len(batch) == 0)
}

// assembly decides which pieces go to which idle runner. It answers all loads
// with one rule: calls that can still be answered in time come first, by rank
// and then by what is left of their time; and pieces go to the zone in which
// their results are wanted as long as that costs no call its time.
type assembly struct {
	now    time.Time
	limits *routing.Batches
}

// callTime returns how long a batch takes.
func (a assembly) callTime(pieces int) time.Duration {
	return a.limits.CallTime + time.Duration(pieces)*a.limits.PieceTime
}

// hopeless reports whether a piece can't help its call any more even if a
// runner began at once.
func (a assembly) hopeless(w *waiting) bool {
	return a.now.Add(a.callTime(1) + w.order.After).After(w.order.Until)
}

// slack returns for how long the piece may wait until its call is late.
func (a assembly) slack(w *waiting) time.Duration {
	return w.order.Due.Sub(a.now) - a.callTime(a.limits.MaxPieces) - w.order.After
}

// The classes of orders, in the order in which they are made. What was begun is
// finished first, since what was made of it is of no use alone.
const (
	begun = iota
	inTime
	late
)

// class returns the class of a piece's order.
func (a assembly) class(w *waiting) int {
	switch {
	case w.order.begun:
		return begun
	case a.slack(w) >= 0:
		return inTime
	}
	return late
}

// compare orders the queue.
func (a assembly) compare(x, y *waiting) int {
	return cmp.Or(
		cmp.Compare(a.class(x), a.class(y)),
		cmp.Compare(x.order.Rank, y.order.Rank),
		cmp.Compare(a.slack(x), a.slack(y)),
		x.since.Compare(y.since),
	)
}

// sameClass reports whether two pieces differ in nothing that goes before the
// zone.
func (a assembly) sameClass(x, y *waiting) bool {
	return x.order.Rank == y.order.Rank && a.class(x) == a.class(y)
}

// batches takes pieces out of a queue for the idle runners. It returns the
// batch of each runner, which may be empty, and the rest of the queue.
func (a assembly) batches(queue []*waiting, idle []idleRunner) (taken [][]*waiting, rest []*waiting) {
	queue = slices.Clone(queue)
	slices.SortStableFunc(queue, a.compare)
	taken = make([][]*waiting, len(idle))
	for i, b := range idle {
		taken[i], queue = a.local(queue, b)
	}
	for i, b := range idle {
		taken[i], queue = a.fill(taken[i], queue, b, idle)
	}
	return taken, queue
}

// local takes the pieces that are wanted in the runner's zone, unless more
// pressing ones would fill the batch.
func (a assembly) local(queue []*waiting, b idleRunner) (batch, rest []*waiting) {
	ahead := 0
	var first *waiting
	for _, w := range queue {
		switch {
		case first != nil && !a.sameClass(first, w):
			ahead = len(batch) + len(rest)
			first = w
		case first == nil:
			first = w
		}
		if w.order.Zone == b.zone && len(batch) < a.limits.MaxPieces && ahead < a.limits.MaxPieces && b.takes(batch, w) {
			batch = append(batch, w)
			continue
		}
		rest = append(rest, w)
	}
	return batch, rest
}

// fill adds pieces that are wanted elsewhere. A piece is left to a runner of its
// own zone if that one comes soon enough.
func (a assembly) fill(batch, queue []*waiting, b idleRunner, idle []idleRunner) (filled, rest []*waiting) {
	wanted := make(map[string]int)
	for _, w := range queue {
		wanted[w.order.Zone]++
	}
	for _, w := range queue {
		if len(batch) >= a.limits.MaxPieces || !b.takes(batch, w) || a.leave(w, b, wanted, idle) {
			rest = append(rest, w)
			continue
		}
		batch = append(batch, w)
	}
	return batch, rest
}

// leave reports whether a piece is better left for a runner of its zone.
func (a assembly) leave(w *waiting, b idleRunner, wanted map[string]int, idle []idleRunner) bool {
	if w.order.Zone == "" || w.order.Zone == b.zone || wanted[w.order.Zone] > a.limits.MaxPieces {
		return false
	}
	if slices.ContainsFunc(idle, func(o idleRunner) bool { return o.zone == w.order.Zone }) {
		// That runner's batch was full.
		return false
	}
	return a.slack(w) > a.callTime(a.limits.MaxPieces) && a.now.Sub(w.since) < zoneWait
}
