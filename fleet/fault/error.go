package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Error is an error with a kind. It is immutable: the With methods return
// changed copies.
type Error struct {
	kind Kind
	// outcome is empty where the kind's row says it.
	outcome Outcome
	// field names the bad field or input, or is empty.
	field string
	// retryAfter is zero where the kind's row says it.
	retryAfter time.Duration
	cause      error
}

// New returns an error of kind k whose text is built as by fmt.Sprintf.
func New(k Kind, format string, args ...any) *Error {
	return &Error{kind: k, cause: eris.New(fmt.Sprintf(format, args...))}
}

// Wrap returns an error of kind k that keeps err as its cause.
func Wrap(k Kind, err error, format string, args ...any) *Error {
	return &Error{kind: k, cause: eris.Wrap(err, fmt.Sprintf(format, args...))}
}

// Error returns the text with the kind and the field before it.
func (e *Error) Error() string {
	if e.field == "" {
		return string(e.kind) + ": " + e.cause.Error()
	}
	return string(e.kind) + ": " + e.field + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// WithField returns a copy that names the bad field or input.
func (e *Error) WithField(field string) *Error {
	c := *e
	c.field = field
	return &c
}

// WithOutcome returns a copy that says more of the outcome than its kind.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.outcome = o
	return &c
}

// WithRetryAfter returns a copy that says when a repeat makes sense.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Field returns the bad field or input, or "".
func (e *Error) Field() string { return e.field }

// Outcome returns what is known of the work.
func (e *Error) Outcome() Outcome {
	if e.outcome != "" {
		return e.outcome
	}
	return AnswerOf(e.kind).Outcome
}

// RetryAfter returns when a repeat makes sense; zero means that it does not.
func (e *Error) RetryAfter() time.Duration {
	if e.retryAfter != 0 {
		return e.retryAfter
	}
	return AnswerOf(e.kind).RetryAfter
}

// Of returns err as an *Error. An error without a kind becomes Internal; nil
// stays nil.
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

// Message is the form of an error on the wire, towards callers, operators and
// other instances alike.
type Message struct {
	Kind    Kind    `json:"kind"`
	Outcome Outcome `json:"outcome"`
	Field   string  `json:"field,omitempty"`
	Detail  string  `json:"detail"`
	// RetryAfterMillis is zero where a repeat makes no sense.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

// Message returns the error's form on the wire.
func (e *Error) Message() Message {
	return Message{
		Kind:             e.kind,
		Outcome:          e.Outcome(),
		Field:            e.field,
		Detail:           e.cause.Error(),
		RetryAfterMillis: e.RetryAfter().Milliseconds(),
	}
}

// Err returns the error that m describes.
func (m Message) Err() *Error {
	return &Error{
		kind:       m.Kind,
		outcome:    m.Outcome,
		field:      m.Field,
		retryAfter: time.Duration(m.RetryAfterMillis) * time.Millisecond,
		cause:      eris.New(m.Detail),
	}
}
