// Package relay passes calls on to runners without changing them, and carries
// their answers back whole.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/target"
)

// Call is a request of a caller, which the relay passes on as it is.
type Call struct {
	// ID is the caller's identifier of this attempt.
	ID     string
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	// Path is the path alone.
	Path string
	Host string
	// Header has the headers that are passed on unchanged.
	Header http.Header
	Body   []byte
	// Key is the team's key, or empty.
	Key string
	// Arrived is when the call was read, on the relay's clock.
	Arrived time.Time
	// Patience is how long the caller waits; zero if it didn't say.
	Patience time.Duration
	Prompt   target.Prompt
	// Outputs is the greatest number of tokens of the answer.
	Outputs int
	// Pieces has the number of pieces of each stage, PieceKey their input.
	Pieces   []int
	PieceKey string
	// ResumeAfter is the last event that the caller has, or empty.
	ResumeAfter string
}

// Dispatch is what the relay adds when it passes a call on.
type Dispatch struct {
	Runner *inventory.Runner
	// Team is the name of the caller's team, or empty.
	Team string
	// Left is how long the runner may work.
	Left time.Duration
	// Urgency is the call's rank at the runner; 0 is the most urgent.
	Urgency int
	// Inputs are the handles of the stages' results.
	Inputs []string
	// ResumeAfter is the last event that the caller has, or empty.
	ResumeAfter string
	// Usable reports, once there is a connection, whether the runner still takes
	// new calls.
	Usable func() bool
	// Once forbids connections that may break before the runner answers.
	Once bool
}

// Answer is a runner's answer, as it comes in.
type Answer struct {
	Status int
	// Header has what is passed back.
	Header http.Header
	// Body ends with io.EOF only if it is complete.
	Body io.Reader
	// NotRun is set if the runner says that it didn't run the call.
	NotRun bool
	// OtherRunner is set if another runner has the address.
	OtherRunner bool
	// Sealed is set if the answer bears the runner's proof of origin.
	Sealed bool
	// Events is set if the body is a stream of events.
	Events bool
	// Close ends the exchange; the runner drops a call that it still works on.
	Close func()
}

// Unanswered is the failure of a dispatch.
type Unanswered struct {
	// Sent is false if nothing of the call left for the runner.
	Sent bool
	// Left is set if nothing was sent since the runner takes no new calls any
	// more.
	Left bool
	Err  error
}

func (e *Unanswered) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Unanswered) Unwrap() error { return e.Err }

// Runners passes calls to runners. Errors are *Unanswered.
type Runners interface {
	Send(ctx context.Context, c *Call, d Dispatch) (*Answer, error)
}

// Repeats decides on sending a call to a further runner.
type Repeats interface {
	// Success notes a call of the service.
	Success(service string)
	// Allow takes one repeat out of the service's budget.
	Allow(service string) bool
}

// plan is what the configuration says of a call.
type plan struct {
	call     *Call
	route    *routing.Route
	service  string
	team     string
	priority int
	// status and events are those of the answer that was passed back.
	status, events int
	// until is when the caller or the operator gives up.
	until time.Time
	// deadline ends with until.
	ctx context.Context
}

// once reports whether the call may run only once.
func (p *plan) once() bool { return !p.route.Repeatable() }
