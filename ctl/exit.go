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
	// ExitOK is a command that did what it was asked.
	ExitOK = 0
	// ExitRefused is a command that the server refused; nothing was changed.
	ExitRefused = 1
	// ExitUsage is a command line or an input file that cannot be read.
	ExitUsage = 2
	// ExitConflict is a step that another operator's change overtook.
	ExitConflict = 3
	// ExitUnreachable is a command that no server answered.
	ExitUnreachable = 4
	// ExitIncomplete is a followed step that was not complete in time; it
	// goes on without the command.
	ExitIncomplete = 5
	// ExitUnknown is a command whose effect is not known.
	ExitUnknown = 6
)

// errIncomplete is the cause of an error when --follow ran out of time.
var errIncomplete = eris.New("not complete in time")

// usageError is a mistake in the command line or in an input file.
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
