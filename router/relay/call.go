// Package relay is a reverse proxy that forwards calls to runners unchanged and
// returns complete answers to the callers.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/memory"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/target"
)

// Call is a caller's request, which the relay forwards unchanged.
type Call struct {
	// ID is the identifier that the caller gave this attempt.
	ID     string
	Method string
	// Target is the request target, path and query, as the caller sent it.
	Target string
	// Path is the path without the query.
	Path string
	Host string
	// Header has the headers that are forwarded unchanged.
	Header http.Header
	Body   []byte
	// Key is the team's API key, or empty.
	Key string
	// Arrived is when the call was received, by the relay's clock.
	Arrived time.Time
	// Timeout is the caller's timeout, or zero if the caller set none.
	Timeout time.Duration
	// StopsAt is when the instance stops and cancels its calls, by the relay's clock, or
	// zero while it isn't about to.
	StopsAt time.Time
	Prompt  target.Prompt
	// MaxOutputTokens is the maximum number of output tokens.
	MaxOutputTokens int
	// OutputHint is the caller's estimate of the number of output tokens, or zero.
	OutputHint int
	// Pieces has the number of pieces of each stage. PieceKey identifies the input
	// of the pieces of stages that depend on no other stage.
	Pieces   []int
	PieceKey string
	// ResumeAfter is the identifier of the last event that the caller received, or
	// empty.
	ResumeAfter string
	// Resumes is the identifier of the attempt that brought the first event of the stream
	// that the caller takes up, or empty.
	Resumes string
	// Memory is what the call holds of the memory of its process, or nil if that isn't
	// bounded.
	Memory *memory.Reservation
}

// Dispatch has the parameters of one attempt to send a call to a runner.
type Dispatch struct {
	Runner *inventory.Runner
	// Team is the name of the caller's team, or empty.
	Team string
	// Remaining is the time remaining until the call's deadline.
	Remaining time.Duration
	// Urgency is the call's priority at the runner; 0 is the highest.
	Urgency int
	// Inputs are the handles of the stage results that the call uses as input.
	Inputs []string
	// ResumeAfter is the identifier of the last event that the caller received, or
	// empty.
	ResumeAfter string
	// Accepts reports whether the call still accepts the runner. It is optional.
	Accepts func() bool
	// MaySend reports whether the runner still accepts new calls. It is called when
	// the connection is open, before the request is written.
	MaySend func() bool
	// AtMostOnce is set if the call must not run more than once. Connections that may
	// break before the runner answers aren't used then.
	AtMostOnce bool
}

// Answer is a runner's response, whose body is read while it arrives.
type Answer struct {
	Status int
	// Header has the headers that are returned to the caller.
	Header http.Header
	// Body returns io.EOF only after a complete body.
	Body io.Reader
	// NotRun is set if the runner reports that it didn't run the call.
	NotRun bool
	// OtherRunner is set if the address now belongs to another runner.
	OtherRunner bool
	// Sealed is set if the answer carries the runner's proof of origin.
	Sealed bool
	// Events is set if the body is a stream of server-sent events.
	Events bool
	// Unframed is set if the body has no length and ends with its connection.
	Unframed bool
	// Close ends the exchange. A runner that still works on the call cancels it.
	Close func()
}

// SendError is the error of a dispatch that got no answer.
type SendError struct {
	// Sent is false if no byte of the call was sent to the runner.
	Sent bool
	// RunnerWithdrawn is set if nothing was sent because the runner no longer accepts
	// new calls.
	RunnerWithdrawn bool
	Err             error
}

func (e *SendError) Error() string { return e.Err.Error() }

func (e *SendError) Unwrap() error { return e.Err }

// Runners sends calls to runners. Errors are of type *SendError.
type Runners interface {
	Send(ctx context.Context, c *Call, d Dispatch) (*Answer, error)
}

// RetryBudget limits sending calls to further runners.
type RetryBudget interface {
	// Success records a call of the service, which adds to its budget.
	Success(service string)
	// Allow takes one retry from the service's budget and reports whether there
	// was one.
	Allow(service string) bool
}

// Quarantine refuses calls whose prompts have parts that crash runners.
// quarantine.Guard implements it.
type Quarantine interface {
	// Blocked reports whether a call must not be sent to a runner, and for how long.
	Blocked(service string, p target.Prompt) (time.Duration, bool)
	// Answered records that a runner has begun to answer a call.
	Answered(service string, p target.Prompt)
	// Crashed records that the connection to a runner broke before the answer to a
	// call began.
	Crashed(r *inventory.Runner, p target.Prompt)
}

// noQuarantine refuses no calls.
type noQuarantine struct{}

func (noQuarantine) Blocked(string, target.Prompt) (time.Duration, bool) { return 0, false }

func (noQuarantine) Answered(string, target.Prompt) {}

func (noQuarantine) Crashed(*inventory.Runner, target.Prompt) {}

// callPlan is a call with its route and the limits from the configuration.
type callPlan struct {
	call    *Call
	route   *routing.Route
	service string
	team    string
	// priority is the rank of the call, 0 is the most urgent. urgency is the rank on the
	// scale of the runners.
	priority, urgency int
	// zone is the zone of the shards that run the call and its stages, or "" if none
	// of their services is divided.
	zone string
	// status is the status code of the answer that was returned to the caller,
	// events the number of its events.
	status, events int
	// deadline is when the caller's or the route's timeout ends, whichever is first.
	deadline time.Time
	// stagesDeadline is when the stages must be made, with the time until the first
	// event of the answer. It isn't after deadline.
	stagesDeadline time.Time
	// ctx ends at the deadline or when the caller disconnects.
	ctx context.Context
}

// atMostOnce reports whether the call must not run more than once.
func (p *callPlan) atMostOnce() bool { return !p.route.Repeatable() }
