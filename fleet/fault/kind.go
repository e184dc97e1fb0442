// Package fault holds the closed list of error kinds and the table from a
// kind to the answer that a caller gets.
package fault

import (
	"net/http"
	"time"
)

// Kind names one way in which a request can fail. The list below is closed:
// an error without a kind is answered as Internal.
type Kind string

// Outcome says what is known of the work that a request asked for.
type Outcome string

// The three outcomes. Only NotRun invites a repeat of a call that is not
// idempotent.
const (
	// NotRun means that nothing of the work was done and nothing will be.
	NotRun Outcome = "notRun"
	// Run means that the work was done.
	Run Outcome = "run"
	// Unknown means that the work may or may not have been done.
	Unknown Outcome = "unknown"
)

// The kinds of refusals of bad input.
const (
	// BadRequest is a request that cannot be read: broken JSON, a wrong
	// type, an unknown field, a bad encoding.
	BadRequest Kind = "badRequest"
	// TooLarge is a body, header or field over its limit.
	TooLarge Kind = "tooLarge"
	// HeaderTooLarge is a header over its limit.
	HeaderTooLarge Kind = "headerTooLarge"
	// SlowCaller is a caller that did not deliver its request in time.
	SlowCaller Kind = "slowCaller"
	// CallerGone is a caller that left before its answer was there.
	CallerGone Kind = "callerGone"
	// Unauthenticated is a missing or unknown key.
	Unauthenticated Kind = "unauthenticated"
	// Forbidden is a known caller that may not do this.
	Forbidden Kind = "forbidden"
	// UnknownPipeline is a pipeline that the bundle in force does not have.
	UnknownPipeline Kind = "unknownPipeline"
	// UnknownRoute is a host and path that no route matches.
	UnknownRoute Kind = "unknownRoute"
	// BadDeadline is a deadline outside the pipeline's limits.
	BadDeadline Kind = "badDeadline"
	// BadKey is a missing or malformed idempotency key.
	BadKey Kind = "badKey"
	// KeyConflict is an idempotency key used before with another body.
	KeyConflict Kind = "keyConflict"
	// NotFound is a named thing that does not exist.
	NotFound Kind = "notFound"
)

// The kinds of refusals for want of capacity, time or agreement.
const (
	// Overloaded is a request that found no place in time.
	Overloaded Kind = "overloaded"
	// TeamLimit is a team over its rate or its share.
	TeamLimit Kind = "teamLimit"
	// Displaced is free work that gave its place to a paying caller.
	Displaced Kind = "displaced"
	// DeadlineShort is a request refused before it started, since it could
	// no longer make its deadline.
	DeadlineShort Kind = "deadlineShort"
	// DeadlineMissed is a request whose deadline passed while it ran.
	DeadlineMissed Kind = "deadlineMissed"
	// NoRunner is a stage without any runner that may serve it.
	NoRunner Kind = "noRunner"
	// RunnerFailed is an idempotent stage whose attempts all failed.
	RunnerFailed Kind = "runnerFailed"
	// HomeUnsettled is a key whose home instance is not agreed at present.
	HomeUnsettled Kind = "homeUnsettled"
	// OutcomeUnknown is a call that left for a runner and brought no whole
	// answer, or whose earlier fate nobody can vouch for.
	OutcomeUnknown Kind = "outcomeUnknown"
	// StaleConfiguration is an instance that can't tell whether its
	// configuration is still the newest.
	StaleConfiguration Kind = "staleConfiguration"
	// NotReady is an instance that has no bundle in force yet.
	NotReady Kind = "notReady"
)

// The kinds that operators meet.
const (
	// Conflict is a step that another operator's change overtook.
	Conflict Kind = "conflict"
	// HistoryGone is a platform store that doesn't keep the changes from a
	// revision on any more.
	HistoryGone Kind = "historyGone"
	// StoreUnavailable is a platform store that does not answer.
	StoreUnavailable Kind = "storeUnavailable"
	// Internal is a defect of this program.
	Internal Kind = "internal"
)

// Answer is what a kind means to a caller.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Outcome is what the kind says of the work, where the error itself
	// does not say more.
	Outcome Outcome
	// RetryAfter is when a repeat makes sense; zero means that it does not.
	RetryAfter time.Duration
}

// statusCallerGone is in common use for a client that closed its request; no
// caller ever sees it.
const statusCallerGone = 499

const (
	retrySoon     = 200 * time.Millisecond
	retryLater    = time.Second
	retryTakeover = 5 * time.Second
)

// answers has a row for each kind; a test compares it with Kinds.
var answers = map[Kind]Answer{
	BadRequest:         {http.StatusBadRequest, NotRun, 0},
	TooLarge:           {http.StatusRequestEntityTooLarge, NotRun, 0},
	HeaderTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, NotRun, 0},
	SlowCaller:         {http.StatusRequestTimeout, NotRun, retrySoon},
	CallerGone:         {statusCallerGone, Unknown, 0},
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
	Displaced:          {http.StatusServiceUnavailable, Unknown, retryLater},
	DeadlineShort:      {http.StatusServiceUnavailable, NotRun, retrySoon},
	DeadlineMissed:     {http.StatusGatewayTimeout, Unknown, retrySoon},
	NoRunner:           {http.StatusServiceUnavailable, NotRun, retryLater},
	RunnerFailed:       {http.StatusBadGateway, Unknown, retrySoon},
	HomeUnsettled:      {http.StatusServiceUnavailable, NotRun, retryTakeover},
	OutcomeUnknown:     {http.StatusBadGateway, Unknown, 0},
	StaleConfiguration: {http.StatusServiceUnavailable, NotRun, retrySoon},
	NotReady:           {http.StatusServiceUnavailable, NotRun, retryLater},
	Conflict:           {http.StatusConflict, NotRun, 0},
	HistoryGone:        {http.StatusServiceUnavailable, NotRun, retrySoon},
	StoreUnavailable:   {http.StatusServiceUnavailable, NotRun, retryTakeover},
	Internal:           {http.StatusInternalServerError, Unknown, 0},
}

// Kinds returns the closed list in the order of this file.
func Kinds() []Kind {
	return []Kind{
		BadRequest, TooLarge, HeaderTooLarge, SlowCaller, CallerGone, Unauthenticated, Forbidden,
		UnknownPipeline, UnknownRoute, BadDeadline, BadKey, KeyConflict, NotFound,
		Overloaded, TeamLimit, Displaced, DeadlineShort, DeadlineMissed,
		NoRunner, RunnerFailed, HomeUnsettled, OutcomeUnknown, StaleConfiguration, NotReady,
		Conflict, HistoryGone, StoreUnavailable, Internal,
	}
}

// AnswerOf returns the row of k, or that of Internal when k is not a kind.
func AnswerOf(k Kind) Answer {
	if a, ok := answers[k]; ok {
		return a
	}
	return answers[Internal]
}
