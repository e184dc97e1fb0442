package runner

import (
	"sync"
	"time"

	"cicadawell.dev/fleet/runnerapi"
)

// Ending tells what became of a run.
type Ending string

// The endings of a run.
const (
	// Running has not ended yet.
	Running Ending = ""
	// Done was run to its end; its effect has happened.
	Done Ending = "done"
	// Failed was begun and given up, without an effect.
	Failed Ending = "failed"
	// Cancelled was stopped by the instance that asked for it.
	Cancelled Ending = "cancelled"
)

// Run is one attempt that a runner took on.
type Run struct {
	Attempt  string    `json:"attempt"`
	Request  string    `json:"request"`
	Team     string    `json:"team"`
	Key      string    `json:"key,omitempty"`
	Stage    string    `json:"stage"`
	From     string    `json:"from"`
	Priority int       `json:"priority"`
	At       time.Time `json:"at"`
	// BusyMicros is how long the run held its place.
	BusyMicros int64 `json:"busyMicros"`
	// Load is how many runs there were at the start, this one included.
	Load   int    `json:"load"`
	Cold   bool   `json:"cold"`
	Ending Ending `json:"ending"`
	Tokens int    `json:"tokens,omitempty"`
}

// Ordered is one order that a runner got.
type Ordered struct {
	runnerapi.Order
	At       time.Time `json:"at"`
	Accepted bool      `json:"accepted"`
}

// Record is all that a runner did.
type Record struct {
	Runner string    `json:"runner"`
	Zone   string    `json:"zone"`
	Runs   []Run     `json:"runs"`
	Orders []Ordered `json:"orders"`
	// MaxColdLoad is the most runs at once while cold, ColdSlots what the
	// runner bears, and Collapses how often it had to start again.
	MaxColdLoad int `json:"maxColdLoad"`
	ColdSlots   int `json:"coldSlots"`
	Collapses   int `json:"collapses"`
	// Refused counts the calls that were not taken on.
	Refused int `json:"refused"`
}

// recorder keeps a Record.
type recorder struct {
	mu  sync.Mutex
	rec Record
}

// begin adds a run and returns its place in the record.
func (r *recorder) begin(run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.Cold {
		r.rec.MaxColdLoad = max(r.rec.MaxColdLoad, run.Load)
	}
	r.rec.Runs = append(r.rec.Runs, run)
	return len(r.rec.Runs) - 1
}

func (r *recorder) end(i int, ending Ending, busy time.Duration, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &r.rec.Runs[i]
	run.Ending, run.BusyMicros, run.Tokens = ending, busy.Microseconds(), tokens
}

// note changes the record under its lock.
func (r *recorder) note(f func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.rec)
}
