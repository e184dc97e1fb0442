// Package callerapi holds the messages of the interface for callers, over HTTP
// with JSON and server-sent events.
package callerapi

import (
	"encoding/json"

	"cicadawell.dev/fleet/fault"
)

// Paths and headers for callers.
const (
	// PathPipelines is followed by the pipeline's id.
	PathPipelines = "/v1/pipelines/"
	// PathHealth tells the platform's balancer whether the instance takes
	// in requests.
	PathHealth = "/v1/health"
	// HeaderKey carries the idempotency key, a UUID of version 7 (RFC 9562)
	// that the caller mints at the time of the first try.
	HeaderKey = "Idempotency-Key"
	// HeaderRequest carries the request's identifier in every answer.
	HeaderRequest = "X-Request-Id"
	// HeaderReplayed is "true" on an answer that an earlier call with the
	// same key produced.
	HeaderReplayed = "Idempotent-Replayed"
)

// Names of the events in a streamed answer. A stream without EventEnd or
// EventError is cut.
const (
	EventToken = "token"
	EventEnd   = "end"
	EventError = "error"
)

// Request is the body of a call to a pipeline. The team's API key comes as a
// bearer token.
type Request struct {
	Input json.RawMessage `json:"input"`
	// DeadlineMillis counts from the arrival of the request; zero takes the
	// pipeline's default.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`
	// Stream asks for server-sent events.
	Stream bool `json:"stream,omitempty"`
}

// Answer is a whole answer; in a stream, the data of EventEnd.
type Answer struct {
	Request  string          `json:"request"`
	Pipeline string          `json:"pipeline"`
	Outcome  fault.Outcome   `json:"outcome"`
	Output   json.RawMessage `json:"output,omitempty"`
	Stages   []Stage         `json:"stages"`
}

// Stage tells how one stage went.
type Stage struct {
	Name     string `json:"name"`
	Runner   string `json:"runner"`
	Attempts int    `json:"attempts"`
	// Micros is the time from the stage's start to its result.
	Micros int64 `json:"micros"`
	// RunnerMicros is how long all attempts of the stage held runners.
	RunnerMicros int64 `json:"runnerMicros"`
	Tokens       int   `json:"tokens,omitempty"`
}

// Token is the data of EventToken.
type Token struct {
	// Index counts from 0 without gaps.
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// Refusal is the body of every answer that is not a whole answer, and the data
// of EventError.
type Refusal struct {
	Request string        `json:"request"`
	Error   fault.Message `json:"error"`
}

// Health is the answer at PathHealth; an instance that is not ready refuses.
type Health struct {
	Ready bool `json:"ready"`
	// Leaving tells that the instance takes in requests but is about to stop.
	Leaving bool `json:"leaving"`
}
