package fault_test

import (
	"errors"
	"testing"
	"time"

	"cicadawell.dev/fleet/fault"
	"github.com/matryer/is"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	is := is.New(t)
	for _, k := range fault.Kinds() {
		if k == fault.Internal {
			continue
		}
		is.True(fault.AnswerOf(k) != fault.AnswerOf(fault.Internal)) // has its own entry
	}
	is.Equal(fault.AnswerOf("nonsense"), fault.AnswerOf(fault.Internal))
}

func TestMessageKeepsTheError(t *testing.T) {
	is := is.New(t)
	cause := errors.New("cut")
	e := fault.Wrap(fault.Displaced, cause, "attempt %d", 3).
		WithField("stages[1]").
		WithOutcome(fault.NotRun).
		WithRetryAfter(7 * time.Millisecond)
	decoded := e.Message().Err()
	is.Equal(decoded.Kind(), fault.Displaced)
	is.Equal(decoded.Outcome(), fault.NotRun)
	is.Equal(decoded.Field(), "stages[1]")
	is.Equal(decoded.RetryAfter(), 7*time.Millisecond)
	is.True(errors.Is(e, cause))
	is.Equal(fault.Of(errors.New("other")).Kind(), fault.Internal)
	is.True(fault.Of(nil) == nil)
}
