// Package routing holds the routes, services and teams of one version of the
// fleet's configuration, and finds the route of a call. Its values don't change.
package routing

import "time"

// Kind says what may be repeated of a call.
type Kind uint8

// The kinds of calls.
const (
	// Idempotent calls may run more than once.
	Idempotent Kind = iota
	// NonIdempotent calls run at most once.
	NonIdempotent
	// Streaming calls are answered by events; unless they can be resumed, they
	// run at most once.
	Streaming
)

func (k Kind) String() string {
	return [...]string{"idempotent", "nonIdempotent", "streaming"}[k]
}

// Route says where calls of one host and path prefix go, and within which
// bounds.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a call is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, earns its full value.
	Objective time.Duration
	// GapObjective is the longest pause between events that counts as in time;
	// zero for calls without events.
	GapObjective time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// Shares has one entry or more, each with a weight above 0.
	Shares []Share
	// MaxAttempts is the greatest number of runners that one call is sent to.
	MaxAttempts int
	// Open routes need no key of a team.
	Open bool
	// Resumable streams may go on at another runner after their last event.
	Resumable bool
	// Stages are made in order before the call itself; After refers to earlier
	// indices only.
	Stages []Stage
}

// Repeatable reports whether a call of this route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Share is a service's part of a route's calls.
type Share struct {
	Service string
	Weight  int
}

// Stage is work of another service that a call needs first.
type Stage struct {
	Service string
	// After lists the stages whose results this stage takes.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Final returns the indices of the stages that no other stage follows. Their
// results go to the call's own runner.
func (r *Route) Final() []int {
	followed := make([]bool, len(r.Stages))
	for _, s := range r.Stages {
		for _, i := range s.After {
			followed[i] = true
		}
	}
	var final []int
	for i, f := range followed {
		if !f {
			final = append(final, i)
		}
	}
	return final
}
