package main

import (
	"context"
	"errors"

	"cicadawell.dev/ctl/client"
	"cicadawell.dev/fleet/fault"
	"github.com/rotisserie/eris"
)

// The exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitRefused means that the server refused the command and changed nothing.
	ExitRefused = 1
	// ExitUsage means that the command line or an input file is invalid.
	ExitUsage = 2
	// ExitConflict means that another operator's change came first.
	ExitConflict = 3
	// ExitUnreachable means that no server responded.
	ExitUnreachable = 4
	// ExitIncomplete means that --follow timed out, or the command was
	// interrupted, before the step was complete; the servers continue the step.
	ExitIncomplete = 5
	// ExitUnknown means that it is unknown whether the command took effect.
	ExitUnknown = 6
)

// errIncomplete is the cause of the error returned when --follow times out.
var errIncomplete = eris.New("not complete in time")

// usageError is an invalid command line or input file.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }
func (e *usageError) Unwrap() error { return e.cause }

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var usage *usageError
	var unreachable *client.UnreachableError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, errIncomplete), errors.Is(err, context.Canceled):
		return ExitIncomplete
	case errors.As(err, &unreachable) && unreachable.Sent:
		return ExitUnknown
	case errors.Is(err, client.ErrUnreachable):
		return ExitUnreachable
	case fault.Is(err, fault.Conflict):
		return ExitConflict
	case fault.Of(err).Outcome() == fault.Unknown:
		return ExitUnknown
	default:
		return ExitRefused
	}
}
