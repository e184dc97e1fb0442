// Package ledger runs non-idempotent calls at most once across all instances.
// It forwards a call to the home instance of its idempotency key, which joins
// duplicates in flight and replays responses.
//
// A key is hashed to a slot, and the membership view assigns each slot its home
// instance. An instance acts as home only while it holds a lease on the view.
// When a slot moves, the previous home hands its records of the slot over to
// the new one.
package ledger

import (
	"context"
	"encoding/json"

	"cicadawell.dev/fleet/callerapi"
)

// Ledger runs calls at most once.
type Ledger interface {
	// Do runs the call at its key's home instance, joins it if it is in
	// flight there, or replays its response. replayed is true in the latter
	// two cases. The outcome of an error says whether the call ran.
	Do(ctx context.Context, call Call) (response callerapi.Response, replayed bool, err error)
}

// Call is one non-idempotent call. It is sent between instances.
type Call struct {
	Request  string `json:"request"`
	Team     string `json:"team"`
	Pipeline string `json:"pipeline"`
	// Key is the caller's idempotency key, a UUID of version 7. It is
	// scoped to the team.
	Key string `json:"key"`
	// BodyHash is the hex SHA-256 of the pipeline and the input.
	BodyHash string          `json:"bodyHash"`
	Input    json.RawMessage `json:"input"`
	// RemainingMillis is the time left until the deadline when the call was
	// sent, in milliseconds.
	RemainingMillis int64 `json:"remainingMillis"`
}

// Executor runs a call's pipeline on this instance. It calls guard directly
// before the write of the non-idempotent stage, and does not write if guard
// returns an error; that error then ends the call as not run.
type Executor interface {
	RunOnce(ctx context.Context, call Call, guard func() error) (callerapi.Response, error)
}
