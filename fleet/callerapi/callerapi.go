// Package callerapi defines the messages of the API for callers, which uses HTTP
// with JSON and server-sent events.
package callerapi

import (
	"encoding/json"

	"cicadawell.dev/fleet/fault"
)

// Paths and headers of the API.
const (
	// PathPipelines is the prefix of the paths of pipelines; the pipeline's ID
	// follows it.
	PathPipelines = "/v1/pipelines/"
	// PathHealth is the health check of the platform's load balancer. It
	// reports whether the instance accepts requests.
	PathHealth = "/v1/health"
	// HeaderKey carries the idempotency key, a UUID of version 7 (RFC 9562)
	// that the caller generates at the time of the first attempt.
	HeaderKey = "Idempotency-Key"
	// HeaderRequest carries the request ID in every response.
	HeaderRequest = "X-Request-Id"
	// HeaderReplayed is "true" on a response that was produced by an earlier
	// call with the same idempotency key.
	HeaderReplayed = "Idempotent-Replayed"
)

// Names of the events in a streamed response. A stream that ends without EventEnd
// or EventError was interrupted.
const (
	EventToken = "token"
	EventEnd   = "end"
	EventError = "error"
)

// Request is the body of a call to a pipeline. The team's API key is sent as a
// bearer token in the Authorization header.
type Request struct {
	Input json.RawMessage `json:"input"`
	// DeadlineMillis is the deadline in milliseconds after the arrival of the
	// request; zero means the pipeline's default.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`
	// Stream requests the response as server-sent events.
	Stream bool `json:"stream,omitempty"`
}

// Response is the body of a successful response. In a streamed response it is the
// data of EventEnd.
type Response struct {
	Request  string          `json:"request"`
	Pipeline string          `json:"pipeline"`
	Outcome  fault.Outcome   `json:"outcome"`
	Output   json.RawMessage `json:"output,omitempty"`
	Stages   []StageResult   `json:"stages"`
}

// StageResult is the report of one stage that was run for a request.
type StageResult struct {
	Name     string `json:"name"`
	Runner   string `json:"runner"`
	Attempts int    `json:"attempts"`
	// Micros is the time in microseconds from the stage's start to its
	// result.
	Micros int64 `json:"micros"`
	// RunnerMicros is the total time in microseconds for which the attempts
	// of the stage occupied runners.
	RunnerMicros int64 `json:"runnerMicros"`
	Tokens       int   `json:"tokens,omitempty"`
}

// Token is the data of EventToken: one token of a streamed response.
type Token struct {
	// Index is the token's position in the stream, from 0 without gaps.
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// ErrorResponse is the body of every response with an error, and the data of
// EventError.
type ErrorResponse struct {
	Request string        `json:"request"`
	Error   fault.Message `json:"error"`
}

// Health is the response of a ready instance at PathHealth. An instance that is
// not ready responds with an ErrorResponse.
type Health struct {
	Ready bool `json:"ready"`
	// Leaving is true if the instance is about to stop but still accepts
	// requests.
	Leaving bool `json:"leaving"`
}
