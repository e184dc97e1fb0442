package fault

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Error is an error with a kind. It is immutable: the With methods return modified
// copies.
type Error struct {
	kind Kind
	// outcome is empty if the default outcome of the kind applies.
	outcome Outcome
	// field names the invalid field or input; it is empty if there is none.
	field string
	// retryAfter is zero if the default delay of the kind applies.
	retryAfter time.Duration
	cause      error
}

// New returns an error of kind k with a text formatted as by fmt.Sprintf.
func New(k Kind, format string, args ...any) *Error {
	return &Error{kind: k, cause: eris.New(fmt.Sprintf(format, args...))}
}

// Wrap returns an error of kind k with a text formatted as by fmt.Sprintf and err as
// its cause.
func Wrap(k Kind, err error, format string, args ...any) *Error {
	return &Error{kind: k, cause: eris.Wrap(err, fmt.Sprintf(format, args...))}
}

// Error returns the text, prefixed with the kind and the field.
func (e *Error) Error() string {
	if e.field == "" {
		return string(e.kind) + ": " + e.cause.Error()
	}
	return string(e.kind) + ": " + e.field + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// WithField returns a copy that names the invalid field or input.
func (e *Error) WithField(field string) *Error {
	c := *e
	c.field = field
	return &c
}

// WithOutcome returns a copy with outcome o in place of the default of its kind.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.outcome = o
	return &c
}

// WithRetryAfter returns a copy with retry delay d in place of the default of its
// kind.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Field returns the name of the invalid field or input, or "" if there is none.
func (e *Error) Field() string { return e.field }

// Outcome returns what is known about the execution of the request: the outcome set
// with WithOutcome, or else the default of the kind.
func (e *Error) Outcome() Outcome {
	if e.outcome != "" {
		return e.outcome
	}
	return ResponseOf(e.kind).Outcome
}

// RetryAfter returns the delay after which a retry can succeed; zero means that the
// request should not be retried.
func (e *Error) RetryAfter() time.Duration {
	if e.retryAfter != 0 {
		return e.retryAfter
	}
	return ResponseOf(e.kind).RetryAfter
}

// retryMillis returns the retry delay in milliseconds, rounded up, so that nobody retries
// before it has passed.
func (e *Error) retryMillis() int64 {
	return int64((e.RetryAfter() + time.Millisecond - 1) / time.Millisecond)
}

// RetryAfterSeconds returns the retry delay as text in seconds, as in a Retry-After header,
// or "" if the request should not be retried.
func (e *Error) RetryAfterSeconds() string {
	n := e.retryMillis()
	if n <= 0 {
		return ""
	}
	return strconv.FormatFloat(float64(n)/1000, 'f', 3, 64)
}

// Of returns err as an *Error. An error without a kind is wrapped as Internal. Of
// returns nil for nil.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "unexpected error")
}

// Is reports whether err has kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.kind == k
}

// Message is the wire format of an error, for callers, operators and other
// instances.
type Message struct {
	Kind    Kind    `json:"kind"`
	Outcome Outcome `json:"outcome"`
	Field   string  `json:"field,omitempty"`
	Detail  string  `json:"detail"`
	// RetryAfterMillis is the delay in milliseconds after which a retry can
	// succeed; zero means that the request should not be retried.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

// Message returns the error in its wire format.
func (e *Error) Message() Message {
	return Message{
		Kind:             e.kind,
		Outcome:          e.Outcome(),
		Field:            e.field,
		Detail:           e.cause.Error(),
		RetryAfterMillis: e.retryMillis(),
	}
}

// Err returns the error that m describes. Its cause has only the text of the
// original one.
func (m Message) Err() *Error {
	return &Error{
		kind:       m.Kind,
		outcome:    m.Outcome,
		field:      m.Field,
		retryAfter: time.Duration(m.RetryAfterMillis) * time.Millisecond,
		cause:      eris.New(m.Detail),
	}
}
