// Package journal writes a log line for each routing and placement decision,
// bounded when traffic is high, and keeps the recent ones so that a request
// can be explained.
package journal

import "time"

// Journal takes in decisions.
type Journal interface {
	// Record writes one decision. It never blocks.
	Record(d Decision)
	// Explain returns the decisions kept for a request, oldest first.
	Explain(request string) []Decision
}

// Step names what was decided.
type Step string

// The steps that a request takes.
const (
	Admitted  Step = "admitted"
	Refused   Step = "refused"
	Chosen    Step = "chosen"
	Sent      Step = "sent"
	Answered  Step = "answered"
	Retried   Step = "retried"
	Hedged    Step = "hedged"
	Displaced Step = "displaced"
	Dropped   Step = "dropped"
	Forwarded Step = "forwarded"
	Joined    Step = "joined"
	Replayed  Step = "replayed"
	Placed    Step = "placed"
	Cancelled Step = "cancelled"
)

// Decision is one routing or placement decision. Empty fields do not apply.
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
