// Package runnerapi defines the messages between instances and runners, which use
// HTTP with JSON and server-sent events.
package runnerapi

import "encoding/json"

// Paths of a runner.
const (
	PathRun    = "/v1/run"
	PathCancel = "/v1/cancel"
	PathLoad   = "/v1/load"
	PathOrders = "/v1/orders"
	PathState  = "/v1/state"
)

// Names of the events in a streamed result. A stream that ends without EventEnd was
// interrupted.
const (
	EventToken = "token"
	EventEnd   = "end"
	EventError = "error"
)

// Priorities in RunRequest, which engines respect. The higher one goes first.
const (
	PriorityFree   = 0
	PriorityPaying = 10
)

// RunRequest is the request to a runner to execute one attempt of one stage of one
// request.
type RunRequest struct {
	// Attempt is the ID of this attempt, unique to this dispatch. The
	// response repeats it.
	Attempt  string `json:"attempt"`
	Request  string `json:"request"`
	Pipeline string `json:"pipeline"`
	Stage    string `json:"stage"`
	Team     string `json:"team"`
	Model    string `json:"model,omitempty"`
	Priority int    `json:"priority"`
	// RemainingMillis is the time until the stage's deadline, in
	// milliseconds.
	RemainingMillis int64 `json:"remainingMillis"`
	// IdempotencyKey is set on calls that must not be retried.
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
	Stream         bool   `json:"stream,omitempty"`
	// From is the ID of the instance that sent the request.
	From  string          `json:"from"`
	Input json.RawMessage `json:"input,omitempty"`
}

// RunResult is a complete result. In a streamed result it is the data of EventEnd,
// and Output is the combined output of all tokens.
type RunResult struct {
	Attempt string          `json:"attempt"`
	Output  json.RawMessage `json:"output"`
	Tokens  int             `json:"tokens,omitempty"`
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int `json:"cachedTokens,omitempty"`
	// Load is nil if the runner does not report its load.
	Load *Load `json:"load,omitempty"`
}

// Token is the data of EventToken: one token of a streamed result.
type Token struct {
	Attempt string `json:"attempt"`
	// Index is the token's position in the stream, from 0 without gaps.
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// Load is a runner's report of its load, which may lag behind its actual load.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Cold is true if the runner is in a cold start.
	Cold bool `json:"cold"`
	// AgeMillis is the age of the report in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
}

// ErrorResponse is the body of every response with a status of 400 or higher.
type ErrorResponse struct {
	Attempt string `json:"attempt"`
	// MayHaveRun is false only if the runner has not executed any part of
	// the attempt and never will.
	MayHaveRun bool   `json:"ran"`
	Reason     string `json:"reason"`
	Load       *Load  `json:"load,omitempty"`
}

// Cancel is the request to a runner to stop an attempt.
type Cancel struct {
	Attempt string `json:"attempt"`
}

// Order sets the desired state of a runner: its role and its loaded models.
type Order struct {
	// FencingToken increases with each new holder of the runner's lease.
	FencingToken uint64   `json:"fencing"`
	Role         string   `json:"role,omitempty"`
	Models       []string `json:"models"`
}

// State is the state of a runner as the runner reports it.
type State struct {
	Role   string   `json:"role,omitempty"`
	Models []string `json:"models"`
	// FencingToken is the token of the last order that the runner accepted.
	FencingToken uint64 `json:"fencing"`
	Load         Load   `json:"load"`
}
