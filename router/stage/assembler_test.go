package stage

import (
	"testing"
	"time"

	"cicadawell.dev/router/routing"
	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testAssembler(maxPieces int) assembler {
	return assembler{now: start, limits: &routing.Batches{
		Slots: 1, MaxPieces: maxPieces, CallTime: 150 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultRoom: 100,
	}}
}

// pieces returns n queued pieces of one order.
func pieces(call string, n int, change func(*Order)) []*queuedPiece {
	o := &Order{ID: call, Due: start.Add(2 * time.Second), Deadline: start.Add(4 * time.Second)}
	if change != nil {
		change(o)
	}
	out := make([]*queuedPiece, n)
	for i := range out {
		out[i] = &queuedPiece{piece: Piece{Call: call, Index: i}, order: o, enqueuedAt: start}
	}
	return out
}

// calls concatenates the call identifiers of the pieces in a batch.
func calls(batch []*queuedPiece) string {
	out := ""
	for _, w := range batch {
		out += w.piece.Call
	}
	return out
}

func TestBatchesTakeTheUrgentAndWhatIsInTimeFirst(t *testing.T) {
	is := is.New(t)
	queue := pieces("a", 2, func(o *Order) { o.Rank = 2 })
	queue = append(queue, pieces("b", 2, func(o *Order) { o.Due = start.Add(100 * time.Millisecond) })...) // late
	queue = append(queue, pieces("c", 2, func(o *Order) { o.Rank = 1 })...)
	queue = append(queue, pieces("d", 2, func(o *Order) { o.Rank, o.started = 3, true })...)
	taken, rest := testAssembler(6).assemble(queue, []idleRunner{{freeBytes: 100}})
	is.Equal(calls(taken[0]), "ddccaa")
	is.Equal(calls(rest), "bb")
}

func TestBatchesKeepToTheZoneOfTheirResults(t *testing.T) {
	is := is.New(t)
	queue := pieces("a", 2, func(o *Order) { o.Zone = "x" })
	queue = append(queue, pieces("b", 2, func(o *Order) { o.Zone = "y" })...)
	taken, rest := testAssembler(4).assemble(queue, []idleRunner{{zone: "y", freeBytes: 100}, {zone: "x", freeBytes: 100}})
	is.Equal(calls(taken[0]), "bb")
	is.Equal(calls(taken[1]), "aa")
	is.Equal(len(rest), 0)
}

func TestPiecesWaitForTheirZoneOnlyForAWhile(t *testing.T) {
	is := is.New(t)
	queue := pieces("a", 2, func(o *Order) { o.Zone = "x" })
	a := testAssembler(4)
	taken, rest := a.assemble(queue, []idleRunner{{zone: "y", freeBytes: 100}})
	is.Equal(calls(taken[0]), "")
	is.Equal(calls(rest), "aa")
	a.now = start.Add(zoneWait)
	taken, _ = a.assemble(queue, []idleRunner{{zone: "y", freeBytes: 100}})
	is.Equal(calls(taken[0]), "aa")
}

func TestBatchesFitTheRoom(t *testing.T) {
	is := is.New(t)
	big := func(o *Order) { o.ResultBytes = 40 }
	taken, rest := testAssembler(8).assemble(pieces("a", 5, big), []idleRunner{{freeBytes: 100}})
	is.Equal(len(taken[0]), 2)
	is.Equal(len(rest), 3)
	huge := func(o *Order) { o.ResultBytes = 400 }
	taken, _ = testAssembler(8).assemble(pieces("a", 2, huge), []idleRunner{{freeBytes: 100, empty: true}})
	is.Equal(len(taken[0]), 1) // larger than any runner's memory: tried alone
	taken, _ = testAssembler(8).assemble(pieces("a", 2, huge), []idleRunner{{freeBytes: 100}})
	is.Equal(len(taken[0]), 0)
}

func TestHopelessPiecesAreThoseThatNoRunnerCouldMakeInTime(t *testing.T) {
	is := is.New(t)
	a := testAssembler(8)
	until := func(d, after time.Duration) *queuedPiece {
		return pieces("a", 1, func(o *Order) { o.Deadline, o.MinRemaining = start.Add(d), after })[0]
	}
	is.True(!a.missesDeadline(until(160*time.Millisecond, 0)))
	is.True(a.missesDeadline(until(159*time.Millisecond, 0)))
	is.True(a.missesDeadline(until(300*time.Millisecond, 200*time.Millisecond)))
}

func TestRoomCountsWhatIsHeldUntilItIsGivenUp(t *testing.T) {
	is := is.New(t)
	r := newResultMemory()
	r.inFlightBytes = 10
	is.Equal(r.freeBytes(100, start), int64(80))
	r.inFlightBytes = 0
	r.add("h", 30, start.Add(time.Second))
	is.Equal(r.freeBytes(100, start), int64(60))
	r.observe(50, 100, start.Add(time.Second)) // 20 bytes are not tracked here
	is.Equal(r.freeBytes(100, start), int64(40))
	r.remove("h")
	r.remove("h")
	is.Equal(r.freeBytes(100, start), int64(70))
	is.Equal(r.freeBytes(100, start.Add(2*time.Second)), int64(90)) // the other results have expired
	is.True(r.empty())
	r.observe(200, 100, start.Add(time.Second))
	is.True(r.empty()) // reported free memory above the limit means that nothing is stored
}
