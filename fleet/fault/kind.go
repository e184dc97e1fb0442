// Package fault defines the error kinds of the system and, for each kind, the
// default response that a caller receives.
package fault

import (
	"net/http"
	"time"
)

// Kind is a way in which a request can fail. The kinds below are the only ones: an
// error without a kind is reported as Internal.
type Kind string

// Outcome is what is known about the execution of a request.
type Outcome string

// The three outcomes. A non-idempotent call may be retried only after NotRun.
const (
	// NotRun means that no part of the request was executed or will be.
	NotRun Outcome = "notRun"
	// Run means that the request was executed.
	Run Outcome = "run"
	// Unknown means that the request may or may not have been executed.
	Unknown Outcome = "unknown"
)

// The kinds of errors in the request or caused by the caller.
const (
	// BadRequest is a malformed request: invalid JSON, a value of the wrong
	// type or out of range, an unknown field, an invalid encoding.
	BadRequest Kind = "badRequest"
	// TooLarge is a body, field, message or result that exceeds its size
	// limit.
	TooLarge Kind = "tooLarge"
	// HeaderTooLarge is a request header that exceeds its size limit.
	HeaderTooLarge Kind = "headerTooLarge"
	// SlowCaller is a caller that did not send its request, or did not read
	// its response, in time.
	SlowCaller Kind = "slowCaller"
	// CallerGone is a caller that disconnected before it received its
	// response.
	CallerGone Kind = "callerGone"
	// Unauthenticated is a missing or unknown API key.
	Unauthenticated Kind = "unauthenticated"
	// Forbidden is a known caller without permission for the operation.
	Forbidden Kind = "forbidden"
	// UnknownPipeline is a pipeline that the bundle in force does not define.
	UnknownPipeline Kind = "unknownPipeline"
	// UnknownRoute is a host and path that no route matches.
	UnknownRoute Kind = "unknownRoute"
	// BadDeadline is a deadline outside the pipeline's limits.
	BadDeadline Kind = "badDeadline"
	// BadKey is a missing or malformed idempotency key.
	BadKey Kind = "badKey"
	// KeyConflict is an idempotency key used before with another body.
	KeyConflict Kind = "keyConflict"
	// NotFound is a resource that does not exist.
	NotFound Kind = "notFound"
)

// The kinds of errors of the serving system: lack of capacity or time, failed
// runners, and instances that do not agree yet on their state.
const (
	// Overloaded is a request that got no capacity in time, or a full queue
	// or table.
	Overloaded Kind = "overloaded"
	// TeamLimit is a team that exceeds its rate limit or its share of it.
	TeamLimit Kind = "teamLimit"
	// Preempted is a request of a non-paying tier that was preempted by a
	// request of a paying tier.
	Preempted Kind = "displaced"
	// DeadlineTooShort is a request or attempt that was rejected before its
	// execution, since it could no longer meet its deadline.
	DeadlineTooShort Kind = "deadlineShort"
	// DeadlineExceeded is a request whose deadline passed during its
	// execution.
	DeadlineExceeded Kind = "deadlineMissed"
	// NoRunner is a stage for which no eligible runner is available.
	NoRunner Kind = "noRunner"
	// RunnerFailed is an idempotent stage whose attempts all failed.
	RunnerFailed Kind = "runnerFailed"
	// Quarantined is a call whose prompt has parts that crash runners.
	Quarantined Kind = "quarantined"
	// HomeUnsettled is a key or runner whose home, the instance responsible
	// for it, is not agreed or cannot be reached at present.
	HomeUnsettled Kind = "homeUnsettled"
	// OutcomeUnknown is a call that was sent and received no complete
	// response, or a repeated call whose earlier execution can be neither
	// confirmed nor ruled out.
	OutcomeUnknown Kind = "outcomeUnknown"
	// StaleConfiguration is an instance that cannot confirm that its
	// configuration is the latest one.
	StaleConfiguration Kind = "staleConfiguration"
	// NotReady is an instance that is still starting and has not loaded the
	// bundle in force or other required state yet.
	NotReady Kind = "notReady"
)

// The kinds of errors of changes to shared state, of the platform's store and of
// the program itself.
const (
	// Conflict is a change that is based on state which another change has
	// replaced in the meantime.
	Conflict Kind = "conflict"
	// HistoryGone is a platform store that no longer retains the changes
	// since the requested revision.
	HistoryGone Kind = "historyGone"
	// StoreUnavailable is a platform store that does not respond or rejects
	// calls over its rate limit.
	StoreUnavailable Kind = "storeUnavailable"
	// Internal is a bug in this program.
	Internal Kind = "internal"
)

// Response is the default response to a caller for a kind.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Outcome applies if the error has no outcome of its own.
	Outcome Outcome
	// RetryAfter is the delay after which a retry can succeed; zero means
	// that the request should not be retried.
	RetryAfter time.Duration
}

// statusClientClosedRequest is the common nonstandard status code for a client that
// closed its request. No caller receives it.
const statusClientClosedRequest = 499

const (
	retrySoon     = 200 * time.Millisecond
	retryLater    = time.Second
	retryTakeover = 5 * time.Second
)

// responses has an entry for each kind; a test compares it with Kinds.
var responses = map[Kind]Response{
	BadRequest:         {http.StatusBadRequest, NotRun, 0},
	TooLarge:           {http.StatusRequestEntityTooLarge, NotRun, 0},
	HeaderTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, NotRun, 0},
	SlowCaller:         {http.StatusRequestTimeout, NotRun, retrySoon},
	CallerGone:         {statusClientClosedRequest, Unknown, 0},
	Unauthenticated:    {http.StatusUnauthorized, NotRun, 0},
	Forbidden:          {http.StatusForbidden, NotRun, 0},
	UnknownPipeline:    {http.StatusNotFound, NotRun, 0},
	UnknownRoute:       {http.StatusNotFound, NotRun, 0},
	BadDeadline:        {http.StatusBadRequest, NotRun, 0},
	BadKey:             {http.StatusBadRequest, NotRun, 0},
	KeyConflict:        {http.StatusUnprocessableEntity, NotRun, 0},
	NotFound:           {http.StatusNotFound, NotRun, 0},
	Overloaded:         {http.StatusServiceUnavailable, NotRun, retrySoon},
	TeamLimit:          {http.StatusTooManyRequests, NotRun, retryLater},
	Preempted:          {http.StatusServiceUnavailable, Unknown, retryLater},
	DeadlineTooShort:   {http.StatusServiceUnavailable, NotRun, retrySoon},
	DeadlineExceeded:   {http.StatusGatewayTimeout, Unknown, retrySoon},
	NoRunner:           {http.StatusServiceUnavailable, NotRun, retryLater},
	RunnerFailed:       {http.StatusBadGateway, Unknown, retrySoon},
	Quarantined:        {http.StatusServiceUnavailable, NotRun, retryTakeover},
	HomeUnsettled:      {http.StatusServiceUnavailable, NotRun, retryTakeover},
	OutcomeUnknown:     {http.StatusBadGateway, Unknown, 0},
	StaleConfiguration: {http.StatusServiceUnavailable, NotRun, retrySoon},
	NotReady:           {http.StatusServiceUnavailable, NotRun, retryLater},
	Conflict:           {http.StatusConflict, NotRun, 0},
	HistoryGone:        {http.StatusServiceUnavailable, NotRun, retrySoon},
	StoreUnavailable:   {http.StatusServiceUnavailable, NotRun, retryTakeover},
	Internal:           {http.StatusInternalServerError, Unknown, 0},
}

// Kinds returns all kinds in the order of their declaration.
func Kinds() []Kind {
	return []Kind{
		BadRequest, TooLarge, HeaderTooLarge, SlowCaller, CallerGone, Unauthenticated, Forbidden,
		UnknownPipeline, UnknownRoute, BadDeadline, BadKey, KeyConflict, NotFound,
		Overloaded, TeamLimit, Preempted, DeadlineTooShort, DeadlineExceeded,
		NoRunner, RunnerFailed, Quarantined, HomeUnsettled, OutcomeUnknown, StaleConfiguration, NotReady,
		Conflict, HistoryGone, StoreUnavailable, Internal,
	}
}

// ResponseOf returns the default response for k, or that for Internal if k is not a
// kind.
func ResponseOf(k Kind) Response {
	if r, ok := responses[k]; ok {
		return r
	}
	return responses[Internal]
}
