package runner

import (
	"sync"
	"time"

	"cicadawell.dev/fleet/runnerapi"
)

// RunState is the state of a run.
type RunState string

// The states of a run.
const (
	// Running means that the run has not ended yet.
	Running RunState = ""
	// Done means that the run has completed and taken effect.
	Done RunState = "done"
	// Failed means that the run was started and aborted without effect, by an
	// overload in cold start.
	Failed RunState = "failed"
	// Cancelled means that the calling instance cancelled the run, or closed
	// its connection when the run had no idempotency key.
	Cancelled RunState = "cancelled"
)

// Run is one attempt that a runner accepted and started.
type Run struct {
	Attempt  string    `json:"attempt"`
	Request  string    `json:"request"`
	Team     string    `json:"team"`
	Key      string    `json:"key,omitempty"`
	Stage    string    `json:"stage"`
	From     string    `json:"from"`
	Priority int       `json:"priority"`
	At       time.Time `json:"at"`
	// BusyMicros is the time for which the run held its slot, in µs.
	BusyMicros int64 `json:"busyMicros"`
	// Load is the number of concurrent runs at the start, this one included.
	Load   int      `json:"load"`
	Cold   bool     `json:"cold"`
	State  RunState `json:"ending"`
	Tokens int      `json:"tokens,omitempty"`
}

// ReceivedOrder is one order that a runner received.
type ReceivedOrder struct {
	runnerapi.Order
	At       time.Time `json:"at"`
	Accepted bool      `json:"accepted"`
}

// Record holds everything that a runner did.
type Record struct {
	Runner string          `json:"runner"`
	Zone   string          `json:"zone"`
	Runs   []Run           `json:"runs"`
	Orders []ReceivedOrder `json:"orders"`
	// MaxColdLoad is the largest number of concurrent runs in cold start,
	// ColdSlots the largest number that does not restart the cold start, and
	// Collapses the number of restarts by more runs than that.
	MaxColdLoad int `json:"maxColdLoad"`
	ColdSlots   int `json:"coldSlots"`
	Collapses   int `json:"collapses"`
	// Refused is the number of calls that were refused without a run.
	Refused int `json:"refused"`
}

// recorder guards a Record with a mutex.
type recorder struct {
	mu  sync.Mutex
	rec Record
}

// begin adds a run and returns its index in the record.
func (r *recorder) begin(run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.Cold {
		r.rec.MaxColdLoad = max(r.rec.MaxColdLoad, run.Load)
	}
	r.rec.Runs = append(r.rec.Runs, run)
	return len(r.rec.Runs) - 1
}

func (r *recorder) end(i int, state RunState, busy time.Duration, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &r.rec.Runs[i]
	run.State, run.BusyMicros, run.Tokens = state, busy.Microseconds(), tokens
}

// update calls f with the record under the lock.
func (r *recorder) update(f func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.rec)
}
