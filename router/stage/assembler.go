package stage

import (
	"cmp"
	"slices"
	"time"

	"cicadawell.dev/router/routing"
)

// queuedPiece is a piece in the queue of a pool.
type queuedPiece struct {
	piece      Piece
	order      *Order
	enqueuedAt time.Time
	// attempts counts the batches in which the piece failed or got no answer.
	attempts int
	result   Result
	done     func()
}

// zoneWait is how long a piece waits for a runner in the zone that needs its
// result: a fraction of the duration of a batch.
const zoneWait = 140 * time.Millisecond

// idleRunner is a runner that can accept a batch now.
type idleRunner struct {
	zone string
	// freeBytes is how many bytes of results still fit on the runner.
	freeBytes int64
	// empty is set if the runner stores no results at all.
	empty bool
}

// fits reports whether the result of a piece fits on the runner in addition to
// those of a batch. A result that is larger than the memory of any runner is
// tried alone on an empty one.
func (b idleRunner) fits(batch []*queuedPiece, w *queuedPiece) bool {
	sum := w.order.ResultBytes
	for _, o := range batch {
		sum += o.order.ResultBytes
	}
	return sum <= b.freeBytes || (b.empty && len(batch) == 0)
}

// assembler assigns queued pieces to idle runners. The same rule applies at
// every load: calls that can still be answered in time come first, ordered by
// rank and then by slack, and pieces run in the zone that needs their results
// as long as that makes no call late.
type assembler struct {
	now    time.Time
	limits *routing.Batches
}

// batchTime returns how long a batch of this many pieces takes.
func (a assembler) batchTime(pieces int) time.Duration {
	return a.limits.CallTime + time.Duration(pieces)*a.limits.PieceTime
}

// missesDeadline reports whether the call would miss its deadline even if a
// runner started the piece at once.
func (a assembler) missesDeadline(w *queuedPiece) bool {
	return a.now.Add(a.batchTime(1) + w.order.MinRemaining).After(w.order.Deadline)
}

// slack returns how long the piece can wait before its call is late. It is
// negative if the call is late already.
func (a assembler) slack(w *queuedPiece) time.Duration {
	return w.order.Due.Sub(a.now) - a.batchTime(a.limits.MaxPieces) - w.order.MinRemaining
}

// The classes of orders, in the order in which they are run. Started orders are
// finished first, since a part of their results is of no use alone.
const (
	classStarted = iota
	classOnTime
	classLate
)

// class returns the class of a piece's order.
func (a assembler) class(w *queuedPiece) int {
	switch {
	case w.order.started:
		return classStarted
	case a.slack(w) >= 0:
		return classOnTime
	}
	return classLate
}

// compare orders the queue by class, rank, slack and time of arrival.
func (a assembler) compare(x, y *queuedPiece) int {
	return cmp.Or(
		cmp.Compare(a.class(x), a.class(y)),
		cmp.Compare(x.order.Rank, y.order.Rank),
		cmp.Compare(a.slack(x), a.slack(y)),
		x.enqueuedAt.Compare(y.enqueuedAt),
	)
}

// samePriority reports whether two pieces have the same rank and class, the
// criteria that take precedence over the zone.
func (a assembler) samePriority(x, y *queuedPiece) bool {
	return x.order.Rank == y.order.Rank && a.class(x) == a.class(y)
}

// assemble takes pieces out of a queue for the idle runners. It returns the
// batch of each runner, which may be empty, and the rest of the queue.
func (a assembler) assemble(queue []*queuedPiece, idle []idleRunner) (batches [][]*queuedPiece, rest []*queuedPiece) {
	queue = slices.Clone(queue)
	slices.SortStableFunc(queue, a.compare)
	batches = make([][]*queuedPiece, len(idle))
	for i, b := range idle {
		batches[i], queue = a.takeLocal(queue, b)
	}
	for i, b := range idle {
		batches[i], queue = a.fill(batches[i], queue, b, idle)
	}
	return batches, queue
}

// takeLocal takes the pieces whose results are needed in the runner's zone,
// unless pieces of higher priority would fill the batch.
func (a assembler) takeLocal(queue []*queuedPiece, b idleRunner) (batch, rest []*queuedPiece) {
	piecesAhead := 0
	var first *queuedPiece
	for _, w := range queue {
		switch {
		case first != nil && !a.samePriority(first, w):
			piecesAhead = len(batch) + len(rest)
			first = w
		case first == nil:
			first = w
		}
		if w.order.Zone == b.zone && len(batch) < a.limits.MaxPieces && piecesAhead < a.limits.MaxPieces && b.fits(batch, w) {
			batch = append(batch, w)
			continue
		}
		rest = append(rest, w)
	}
	return batch, rest
}

// fill adds pieces whose results are needed elsewhere. A piece is skipped if it
// should wait for a runner in its own zone.
func (a assembler) fill(batch, queue []*queuedPiece, b idleRunner, idle []idleRunner) (filled, rest []*queuedPiece) {
	queuedByZone := make(map[string]int)
	for _, w := range queue {
		queuedByZone[w.order.Zone]++
	}
	for _, w := range queue {
		if len(batch) >= a.limits.MaxPieces || !b.fits(batch, w) || a.waitsForZone(w, b, queuedByZone, idle) {
			rest = append(rest, w)
			continue
		}
		batch = append(batch, w)
	}
	return batch, rest
}

// waitsForZone reports whether a piece should wait for a runner in its own
// zone.
func (a assembler) waitsForZone(w *queuedPiece, b idleRunner, queuedByZone map[string]int, idle []idleRunner) bool {
	if w.order.Zone == "" || w.order.Zone == b.zone || queuedByZone[w.order.Zone] > a.limits.MaxPieces {
		return false
	}
	if slices.ContainsFunc(idle, func(o idleRunner) bool { return o.zone == w.order.Zone }) {
		// The batch of the idle runner in that zone was full.
		return false
	}
	return a.slack(w) > a.batchTime(a.limits.MaxPieces) && a.now.Sub(w.enqueuedAt) < zoneWait
}
