// Package journal logs each routing and placement decision, with a rate limit
// for times of high traffic, and keeps recent decisions in memory so that
// operators can look up how a request was handled.
package journal

import "time"

// Journal records decisions.
type Journal interface {
	// Record writes one decision. It never blocks.
	Record(d Decision)
	// Explain returns the retained decisions of a request, oldest first.
	Explain(request string) []Decision
}

// Step is the kind of a decision.
type Step string

// The kinds of decisions about a request.
const (
	Admitted Step = "admitted"
	Refused  Step = "refused"
	Chosen   Step = "chosen"
	Sent     Step = "sent"
	// Answered is the end of an attempt, with a result or an error.
	Answered  Step = "answered"
	Retried   Step = "retried"
	Hedged    Step = "hedged"
	Preempted Step = "displaced"
	// Dropped is an answer of a runner that belongs to another attempt.
	Dropped Step = "dropped"
	// Forwarded is a call that was sent on to the instance that is home of its
	// idempotency key.
	Forwarded Step = "forwarded"
	// Joined is a call that waits for a running request with the same
	// idempotency key.
	Joined Step = "joined"
	// Replayed is a call whose idempotency key an earlier, ended request used.
	Replayed Step = "replayed"
	// Placed is an order to a runner that sets the models it serves.
	Placed    Step = "placed"
	Cancelled Step = "cancelled"
)

// Decision is one routing or placement decision. Fields that do not apply to
// its step are empty.
type Decision struct {
	At      time.Time     `json:"at"`
	Step    Step          `json:"step"`
	Request string        `json:"request,omitempty"`
	Stage   string        `json:"stage,omitempty"`
	Attempt string        `json:"attempt,omitempty"`
	Runner  string        `json:"runner,omitempty"`
	Reason  string        `json:"reason,omitempty"`
	Took    time.Duration `json:"took,omitempty"`
}
