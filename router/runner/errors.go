package runner

import (
	"fmt"

	"cicadawell.dev/fleet/runnerapi"
)

// ForeignError reports a response that carries the identifier of another
// attempt. The response is discarded and never reaches a caller.
type MismatchedAttemptError struct {
	Runner string
	Want   string
	Got    string
}

// Error returns a message with the runner and both attempts.
func (e *MismatchedAttemptError) Error() string {
	return fmt.Sprintf("runner %s answered attempt %q instead of %q", e.Runner, e.Got, e.Want)
}

// RefusedError reports that the runner itself refused an attempt or an order.
type RefusedError struct {
	Runner  string
	Status  int
	Refusal runnerapi.ErrorResponse
}

// Error returns a message with the runner, the status and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("runner %s refused with status %d: %s", e.Runner, e.Status, e.Refusal.Reason)
}
