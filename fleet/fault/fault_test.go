package fault_test

import (
	"errors"
	"testing"
	"time"

	"cicadawell.dev/fleet/fault"
	"github.com/matryer/is"
)

func TestEveryKindHasAResponse(t *testing.T) {
	is := is.New(t)
	for _, k := range fault.Kinds() {
		if k == fault.Internal {
			continue
		}
		is.True(fault.ResponseOf(k) != fault.ResponseOf(fault.Internal)) // has its own entry
	}
	is.Equal(fault.ResponseOf("nonsense"), fault.ResponseOf(fault.Internal))
}

func TestMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	cause := errors.New("cut")
	e := fault.Wrap(fault.Preempted, cause, "attempt %d", 3).
		WithField("stages[1]").
		WithOutcome(fault.NotRun).
		WithRetryAfter(7 * time.Millisecond)
	decoded := e.Message().Err()
	is.Equal(decoded.Kind(), fault.Preempted)
	is.Equal(decoded.Outcome(), fault.NotRun)
	is.Equal(decoded.Field(), "stages[1]")
	is.Equal(decoded.RetryAfter(), 7*time.Millisecond)
	is.True(errors.Is(e, cause))
	is.Equal(fault.Of(errors.New("other")).Kind(), fault.Internal)
	is.True(fault.Of(nil) == nil)
}
