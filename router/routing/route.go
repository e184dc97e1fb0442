// Package routing holds the routes, services and teams of one version of the
// fleet's configuration, and finds the route of a call. Its values are
// immutable.
package routing

import "time"

// Kind determines whether a call may be repeated.
type Kind uint8

// The kinds of calls.
const (
	// Idempotent calls may run more than once.
	Idempotent Kind = iota
	// NonIdempotent calls run at most once.
	NonIdempotent
	// Streaming calls are answered by a stream of events. They run at most once
	// unless the stream can be resumed.
	Streaming
)

func (k Kind) String() string {
	return [...]string{"idempotent", "nonIdempotent", "streaming"}[k]
}

// Route defines the services that get the calls of one host and path prefix, and
// the bounds on these calls.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits for the answer.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, earns its full value.
	Objective time.Duration
	// GapObjective is the longest delay between two events of a stream that
	// still counts as in time; zero for calls without events.
	GapObjective time.Duration
	// Priority is the rank of the route's calls; 0 is the most urgent.
	Priority int
	// Shares has at least one entry; all weights are above 0.
	Shares []Share
	// MaxAttempts is the maximum number of runners to which one call is sent.
	MaxAttempts int
	// Open routes accept calls without a team's key.
	Open bool
	// Resumable streams may continue at another runner after their last event.
	Resumable bool
	// Stages run in order before the call itself. The After of a stage has lower
	// indices only.
	Stages []Stage
}

// Repeatable reports whether a call of this route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Share is a service with its weight among the services of a route.
type Share struct {
	Service string
	Weight  int
}

// Stage is work of another service whose results a call needs.
type Stage struct {
	Service string
	// After lists the indices of the stages whose results are inputs of this
	// stage.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// FinalStages returns the indices of the stages that are in no other stage's After.
// Their results are sent to the runner of the call itself.
func (r *Route) FinalStages() []int {
	hasSuccessor := make([]bool, len(r.Stages))
	for _, s := range r.Stages {
		for _, i := range s.After {
			hasSuccessor[i] = true
		}
	}
	var final []int
	for i, f := range hasSuccessor {
		if !f {
			final = append(final, i)
		}
	}
	return final
}
