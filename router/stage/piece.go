// Package stage runs the stages that precede a call. The work of a stage is
// split into pieces, each of which makes one intermediate result, and the
// pieces of many calls are batched for the runners.
package stage

import (
	"context"
	"time"

	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/shard"
)

// Piece is a unit of work: a part of one stage of a call.
type Piece struct {
	// Call is the identifier of the call that needs the piece.
	Call  string
	Stage int
	Index int
	// Key identifies the input of a stage that depends on no other stage.
	Key string
	// Inputs are the handles of all results of the stages that this one depends
	// on.
	Inputs []string
}

// Result is the outcome of a piece.
type Result struct {
	// Handle identifies the result on the runner that made it; it is empty on
	// failure.
	Handle string `json:"handle,omitempty"`
	// Runner is the identifier of the runner that made the result.
	Runner string `json:"runner,omitempty"`
	// Failure is empty on success.
	Failure Failure `json:"failure,omitempty"`
}

// Failure is the reason why a piece wasn't made.
type Failure string

// The reasons why a piece wasn't made.
const (
	// Late means that the piece can no longer be made in time.
	Late Failure = "late"
	// InputGone means that an input is no longer stored.
	InputGone Failure = "inputGone"
	// OutOfMemory means that the runner has no memory left for the result.
	OutOfMemory Failure = "noRoom"
	// Failed means that the runner failed to make the piece.
	Failed Failure = "failed"
	// Refused means that the runner accepted nothing of the batch, or that there
	// is no runner for the piece.
	Refused Failure = "refused"
	// Lost means that the runner didn't answer.
	Lost Failure = "lost"
	// Abandoned means that the call ended while the piece was queued.
	Abandoned Failure = "abandoned"
)

// MaxPieces bounds the pieces of an order. A caller states their number, and each
// takes memory at the owner as long as it is queued.
const MaxPieces = 10_000

// Order requests pieces of one stage of one call.
type Order struct {
	// ID identifies the order; it is unique in the fleet.
	ID string
	// Shard has the runners that may make the pieces.
	Shard shard.Shard
	// Pieces is the number of pieces, up to MaxPieces. They differ only in their
	// index.
	Pieces int
	// Call, Stage, Key and Inputs are those of each piece.
	Call   string
	Stage  int
	Key    string
	Inputs []string
	// Deadline is the deadline of the call. Due is when it has to be answered to
	// count as on time.
	Deadline, Due time.Time
	// Rank is the call's priority; 0 is the most urgent.
	Rank int
	// MinRemaining is the minimum time that the call needs once these pieces are
	// made.
	MinRemaining time.Duration
	// Zone is the zone that needs the results, or empty for any zone.
	Zone string
	// ResultBytes is the approximate size of one result.
	ResultBytes int64

	// started is set once a piece of the order was sent to a runner, if the policy
	// finishes started orders first.
	started bool
}

// piece returns the piece with an index.
func (o *Order) piece(index int) Piece {
	return Piece{Call: o.Call, Stage: o.Stage, Index: index, Key: o.Key, Inputs: o.Inputs}
}

// Maker makes pieces.
type Maker interface {
	// Make makes the pieces of an order and returns a result for each, in order.
	Make(ctx context.Context, o Order) []Result
	// Free releases results of a shard. It returns at once.
	Free(s shard.Shard, results []Result)
	// Reserve asks whether an upcoming order can be made in time. If it can, its
	// place in the queue is reserved until the order arrives or Cancel is called.
	Reserve(ctx context.Context, a Reservation) Forecast
	// Preview returns the forecast that Reserve would give by what this instance knows,
	// and the instance that decides, or "" if it is this one. It reserves nothing.
	Preview(a Reservation) (f Forecast, owner string)
	// Cancel releases the reservation of an order. It returns at once.
	Cancel(s shard.Shard, order string)
}

// Reservation describes an upcoming order.
type Reservation struct {
	// ID and Shard are those of the order.
	ID    string
	Shard shard.Shard
	// Pieces is the number of pieces in the order.
	Pieces int
	// EarliestArrival is the earliest time at which the order can arrive.
	EarliestArrival time.Time
	// Deadline, Due, Rank and MinRemaining are those of the order.
	Deadline, Due time.Time
	Rank          int
	MinRemaining  time.Duration
}

// Forecast says whether an order can be made in time.
type Forecast struct {
	// Refused is set if the order would be late because of the orders queued
	// before it.
	Refused bool `json:"refused,omitempty"`
	// Wait is how long the order would be queued.
	Wait time.Duration `json:"wait"`
}

// Runners sends requests to runners.
type Runners interface {
	// Run makes the pieces of a batch and returns a result for each, in order. On
	// an error there are no results, and refused reports whether the runner did
	// none of the work. usable is called once there is a connection; nothing is
	// sent if the runner is no longer usable.
	Run(ctx context.Context, r *inventory.Runner, usable func() bool, batch []Timed) (results []Result, refused bool, err error)
	// FreeBytes returns the maximum number of bytes of results that still fit on
	// the runner.
	FreeBytes(ctx context.Context, r *inventory.Runner) (int64, error)
	// Free releases results on the runner.
	Free(ctx context.Context, r *inventory.Runner, handles []string) error
}

// Timed is a piece with the time left to make it.
type Timed struct {
	Piece
	Left time.Duration
}
