package stage

import (
	"testing"
	"time"

	"cicadawell.dev/router/routing"
	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testAssembly(most int) assembly {
	return assembly{now: start, limits: &routing.Batches{
		Slots: 1, MaxPieces: most, CallTime: 150 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultRoom: 100,
	}}
}

// pieces returns n waiting pieces of one order.
func pieces(call string, n int, change func(*Order)) []*waiting {
	o := &Order{ID: call, Due: start.Add(2 * time.Second), Until: start.Add(4 * time.Second)}
	if change != nil {
		change(o)
	}
	out := make([]*waiting, n)
	for i := range out {
		out[i] = &waiting{piece: Piece{Call: call, Index: i}, order: o, since: start}
	}
	return out
}

// calls lists the calls of a batch, each as often as it has pieces.
func calls(batch []*waiting) string {
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
	queue = append(queue, pieces("d", 2, func(o *Order) { o.Rank, o.begun = 3, true })...)
	taken, rest := testAssembly(6).batches(queue, []idleRunner{{room: 100}})
	is.Equal(calls(taken[0]), "ddccaa")
	is.Equal(calls(rest), "bb")
}

func TestBatchesKeepToTheZoneOfTheirResults(t *testing.T) {
	is := is.New(t)
	queue := pieces("a", 2, func(o *Order) { o.Zone = "x" })
	queue = append(queue, pieces("b", 2, func(o *Order) { o.Zone = "y" })...)
	taken, rest := testAssembly(4).batches(queue, []idleRunner{{zone: "y", room: 100}, {zone: "x", room: 100}})
	is.Equal(calls(taken[0]), "bb")
	is.Equal(calls(taken[1]), "aa")
	is.Equal(len(rest), 0)
}

func TestPiecesWaitForTheirZoneOnlyForAWhile(t *testing.T) {
	is := is.New(t)
	queue := pieces("a", 2, func(o *Order) { o.Zone = "x" })
	a := testAssembly(4)
	taken, rest := a.batches(queue, []idleRunner{{zone: "y", room: 100}})
	is.Equal(calls(taken[0]), "")
	is.Equal(calls(rest), "aa")
	a.now = start.Add(zoneWait)
	taken, _ = a.batches(queue, []idleRunner{{zone: "y", room: 100}})
	is.Equal(calls(taken[0]), "aa")
}

func TestBatchesFitTheRoom(t *testing.T) {
	is := is.New(t)
	big := func(o *Order) { o.ResultBytes = 40 }
	taken, rest := testAssembly(8).batches(pieces("a", 5, big), []idleRunner{{room: 100}})
	is.Equal(len(taken[0]), 2)
	is.Equal(len(rest), 3)
	huge := func(o *Order) { o.ResultBytes = 400 }
	taken, _ = testAssembly(8).batches(pieces("a", 2, huge), []idleRunner{{room: 100, vacant: true}})
	is.Equal(len(taken[0]), 1) // larger than any room: tried alone
	taken, _ = testAssembly(8).batches(pieces("a", 2, huge), []idleRunner{{room: 100}})
	is.Equal(len(taken[0]), 0)
}

func TestHopelessPiecesAreThoseThatNoRunnerCouldMakeInTime(t *testing.T) {
	is := is.New(t)
	a := testAssembly(8)
	until := func(d, after time.Duration) *waiting {
		return pieces("a", 1, func(o *Order) { o.Until, o.After = start.Add(d), after })[0]
	}
	is.True(!a.hopeless(until(160*time.Millisecond, 0)))
	is.True(a.hopeless(until(159*time.Millisecond, 0)))
	is.True(a.hopeless(until(300*time.Millisecond, 200*time.Millisecond)))
}

func TestRoomCountsWhatIsHeldUntilItIsGivenUp(t *testing.T) {
	is := is.New(t)
	r := newRoom()
	r.pending = 10
	is.Equal(r.left(100, start), int64(80))
	r.pending = 0
	r.hold("h", 30, start.Add(time.Second))
	is.Equal(r.left(100, start), int64(60))
	r.found(50, 100, start.Add(time.Second)) // 20 of others
	is.Equal(r.left(100, start), int64(40))
	r.free("h")
	r.free("h")
	is.Equal(r.left(100, start), int64(70))
	is.Equal(r.left(100, start.Add(2*time.Second)), int64(90)) // the runner gave up the rest
	is.True(r.empty())
	r.found(200, 100, start.Add(time.Second))
	is.True(r.empty()) // a report of more than there is says that nothing is taken
}
