// Package stage makes the pieces that calls need before they can run. It
// gathers pieces of many calls into the batches that runners take.
package stage

import (
	"context"
	"time"

	"cicadawell.dev/router/inventory"
)

// Piece is a part of a stage of a call.
type Piece struct {
	// Call is the identifier of the call that needs the piece.
	Call  string `json:"call"`
	Stage int    `json:"stage"`
	Index int    `json:"index"`
	// Key names the input of stages that follow no other.
	Key string `json:"key,omitempty"`
	// Inputs are the handles of all results of the stages before.
	Inputs []string `json:"inputs,omitempty"`
}

// Result is what became of a piece.
type Result struct {
	// Handle names the result at its maker; it is empty on failure.
	Handle string `json:"handle,omitempty"`
	// Runner is the maker.
	Runner string `json:"runner,omitempty"`
	// Failure is empty on success.
	Failure Failure `json:"failure,omitempty"`
}

// Failure says why a piece wasn't made.
type Failure string

// The failures.
const (
	// Late pieces could no longer be made in time.
	Late Failure = "late"
	// InputGone means that an input isn't kept any more.
	InputGone Failure = "inputGone"
	// NoRoom means that the runner has no room for the result.
	NoRoom Failure = "noRoom"
	// Failed means that the runner failed at the piece.
	Failed Failure = "failed"
	// Refused means that the runner took nothing of the batch.
	Refused Failure = "refused"
	// Lost means that no answer came.
	Lost Failure = "lost"
	// Abandoned pieces lost their call while they waited.
	Abandoned Failure = "abandoned"
)

// Order asks for pieces of one stage of one call.
type Order struct {
	// ID tells orders apart; it is unique in the fleet.
	ID      string
	Service string
	Pieces  []Piece
	// Until is when the call is given up, Due when it has to be answered for
	// its full value.
	Until, Due time.Time
	// Rank is the call's priority; 0 is the most urgent.
	Rank int
	// After is the least time that the call needs after these pieces.
	After time.Duration
	// Zone is where the results are wanted, or empty.
	Zone string
	// ResultBytes is the approximate size of one result.
	ResultBytes int64

	// begun is set once a piece of the order is at a runner.
	begun bool
}

// Maker makes pieces.
type Maker interface {
	// Make makes the pieces of an order and returns a result for each, in order.
	Make(ctx context.Context, o Order) []Result
	// Free gives results of a service up. It returns at once.
	Free(service string, results []Result)
	// Reserve asks whether an order that will follow can be made in time. If
	// it can, its place is kept until the order, or Cancel.
	Reserve(ctx context.Context, a Reservation) Forecast
	// Cancel gives the place of a reserved order up. It returns at once.
	Cancel(service, order string)
}

// Reservation tells of an order that will follow.
type Reservation struct {
	// ID and Service are those of the order.
	ID      string
	Service string
	// Pieces is how many there will be.
	Pieces int
	// Ready is when the order will come at the earliest.
	Ready time.Time
	// Until, Due, Rank and After are those of the order.
	Until, Due time.Time
	Rank       int
	After      time.Duration
}

// Forecast says whether an order can be made in time.
type Forecast struct {
	// Refused is set if the order would come too late because of what waits
	// before it.
	Refused bool `json:"refused,omitempty"`
	// Wait is how long the order would wait for its turn.
	Wait time.Duration `json:"wait"`
}

// Runners passes batches to runners.
type Runners interface {
	// Run makes the pieces and returns a result for each, in order. On an error
	// there are no results; it tells whether the runner did nothing of the batch.
	// Nothing is sent if the runner isn't usable any more once there is a
	// connection.
	Run(ctx context.Context, r *inventory.Runner, usable func() bool, batch []Timed) (results []Result, refused bool, err error)
	// Room returns how many bytes of results still fit at the runner at most.
	Room(ctx context.Context, r *inventory.Runner) (int64, error)
	// Free gives results up.
	Free(ctx context.Context, r *inventory.Runner, handles []string) error
}

// Timed is a piece with the time that is left for it.
type Timed struct {
	Piece
	Left time.Duration
}
