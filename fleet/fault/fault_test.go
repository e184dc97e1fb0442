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

// TestRetryAfterIsNeverTooEarly guards against delays that are rounded down.
func TestRetryAfterIsNeverTooEarly(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		delay  time.Duration
		text   string
		millis int64
	}{
		{300 * time.Microsecond, "0.001", 1},
		{time.Millisecond, "0.001", 1},
		{1200 * time.Microsecond, "0.002", 2},
		{2500 * time.Millisecond, "2.500", 2500},
	} {
		err := fault.New(fault.NoRunner, "all are paused").WithRetryAfter(c.delay)
		is.Equal(err.RetryAfterSeconds(), c.text)
		is.Equal(err.Message().RetryAfterMillis, c.millis)
	}
	is.Equal(fault.New(fault.BadRequest, "never").RetryAfterSeconds(), "")
}
