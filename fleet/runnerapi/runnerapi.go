// Package runnerapi holds the messages that instances exchange with runners,
// over HTTP with JSON and server-sent events.
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

// Names of the events in a streamed result. A stream without EventEnd is cut.
const (
	EventToken = "token"
	EventEnd   = "end"
	EventError = "error"
)

// The priorities that engines honour.
const (
	PriorityFree   = 0
	PriorityPaying = 10
)

// RunRequest asks a runner to run one attempt of one stage of one request.
type RunRequest struct {
	// Attempt is unique to this dispatch; the answer carries it back.
	Attempt  string `json:"attempt"`
	Request  string `json:"request"`
	Pipeline string `json:"pipeline"`
	Stage    string `json:"stage"`
	Team     string `json:"team"`
	Model    string `json:"model,omitempty"`
	Priority int    `json:"priority"`
	// RemainingMillis is the time left until the stage's deadline.
	RemainingMillis int64 `json:"remainingMillis"`
	// IdempotencyKey is set on calls that may not be repeated.
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
	Stream         bool   `json:"stream,omitempty"`
	// From is the instance that sends.
	From  string          `json:"from"`
	Input json.RawMessage `json:"input,omitempty"`
}

// RunResult is a whole result. In a streamed result it is the data of
// EventEnd, and Output is what the tokens add up to.
type RunResult struct {
	Attempt string          `json:"attempt"`
	Output  json.RawMessage `json:"output"`
	Tokens  int             `json:"tokens,omitempty"`
	// CachedTokens is how much of the prompt the prefix cache held.
	CachedTokens int   `json:"cachedTokens,omitempty"`
	Load         *Load `json:"load,omitempty"`
}

// Token is one piece of a streamed result.
type Token struct {
	Attempt string `json:"attempt"`
	// Index counts from 0 without gaps.
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// Load is a runner's own report, which may lag.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Cold tells that the runner is in cold start.
	Cold bool `json:"cold"`
	// AgeMillis is how old the report is.
	AgeMillis int64 `json:"ageMillis"`
}

// Refusal is the body of every answer with a status of 400 or more.
type Refusal struct {
	Attempt string `json:"attempt"`
	// Ran is false only when the runner did and will do nothing.
	Ran    bool   `json:"ran"`
	Reason string `json:"reason"`
	Load   *Load  `json:"load,omitempty"`
}

// Cancel asks a runner to stop an attempt.
type Cancel struct {
	Attempt string `json:"attempt"`
}

// Order states the wanted end of a runner: its role and its loaded models.
type Order struct {
	// Fencing grows with each holder of the runner's lease.
	Fencing uint64   `json:"fencing"`
	Role    string   `json:"role,omitempty"`
	Models  []string `json:"models"`
}

// State is what a runner tells of itself.
type State struct {
	Role    string   `json:"role,omitempty"`
	Models  []string `json:"models"`
	Fencing uint64   `json:"fencing"`
	Load    Load     `json:"load"`
}
