// Package ledger runs calls that may not be repeated at most once over all
// instances: it finds the home instance of a call's key, joins duplicates in
// flight and replays answers.
package ledger

import (
	"context"
	"encoding/json"

	"cicadawell.dev/fleet/callerapi"
)

// Ledger runs calls at most once.
type Ledger interface {
	// Do runs the call at its key's home instance, joins it when it is in
	// flight there, or replays its answer. replayed tells the latter two.
	// An error says by its outcome whether the call ran.
	Do(ctx context.Context, call Call) (answer callerapi.Answer, replayed bool, err error)
}

// Call is one call that may not be repeated. It travels between instances.
type Call struct {
	Request  string `json:"request"`
	Team     string `json:"team"`
	Pipeline string `json:"pipeline"`
	// Key is the caller's idempotency key, a UUID of version 7. Keys of
	// different teams have nothing to do with each other.
	Key string `json:"key"`
	// BodyHash is the hex SHA-256 of the pipeline and the input.
	BodyHash string          `json:"bodyHash"`
	Input    json.RawMessage `json:"input"`
	// RemainingMillis is the time left when the call was sent on.
	RemainingMillis int64 `json:"remainingMillis"`
}

// Runner runs a call's pipeline on this instance. It calls guard directly
// before the write of the stage that is not idempotent, and does not write
// when guard returns an error; that error then ends the call as not run.
type Runner interface {
	RunOnce(ctx context.Context, call Call, guard func() error) (callerapi.Answer, error)
}
