package runner

import (
	"fmt"

	"cicadawell.dev/fleet/runnerapi"
)

// ForeignError is an answer that belongs to another attempt. It is dropped and
// never reaches a caller.
type ForeignError struct {
	Runner string
	Want   string
	Got    string
}

// Error names the runner and both attempts.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("runner %s answered attempt %q instead of %q", e.Runner, e.Got, e.Want)
}

// RefusedError is a runner's own refusal.
type RefusedError struct {
	Runner  string
	Status  int
	Refusal runnerapi.Refusal
}

// Error names the runner, the status and its reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("runner %s refused with status %d: %s", e.Runner, e.Status, e.Refusal.Reason)
}
