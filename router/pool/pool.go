// Package pool chooses the runner for each stage: it keeps what each runner
// bears, puts paying work strictly before free work, and holds the queue of
// those that wait. It does no I/O; the clock is passed in.
package pool

import (
	"context"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/runnerapi"
)

// Pools hands out places on runners.
type Pools interface {
	// Update puts a new topology in force; places in use stay valid. Once it
	// returned, no runner that it bars passes the check of a place.
	Update(t Topology)
	// Hold says until when the view of the last topology, settled or not, is
	// sure to be no more than one change behind the one in effect; cold
	// runners receive nothing from this instance after it. It is renewed
	// alone only while the same view is in effect; another one, also with the
	// same members, is told by Update. Without a call there is no such limit.
	Hold(until time.Time)
	// Acquire returns a place for the ask, waiting in the queue of its
	// service and model while none is free. Its errors have the kinds
	// Overloaded, NoRunner, DeadlineShort and Displaced, all not run.
	Acquire(ctx context.Context, ask Ask) (Place, error)
	// Wait estimates how long a new ask would wait for a place. Callers take
	// the waits of later stages off the deadline that they plan with, by
	// AdmissionWait at the first stage.
	Wait(service, model string, paying bool) time.Duration
	// Report takes in a load report that did not come with an answer.
	Report(runner string, load runnerapi.Load)
	// Status returns a row for each runner, in the order of their
	// identifiers.
	Status() []Status
	// Digest returns what this instance knows at first hand of runners whose
	// state changed or was confirmed since the given time, for its peers.
	Digest(since time.Time) Digest
	// ColdSigns receives the identifier of each runner that this instance
	// found at first hand to have turned cold, so that its peers hear of it
	// at once. Signs that nobody takes in time are dropped.
	ColdSigns() <-chan string
	// Learn takes in the digest of a peer that was made delay ago.
	Learn(d Digest, delay time.Duration)
}

// Digest is what an instance tells its peers of the runners.
type Digest struct {
	Entries []DigestEntry `json:"entries"`
}

// DigestEntry is what an instance knows of one runner.
type DigestEntry struct {
	Runner string `json:"runner"`
	Cold   bool   `json:"cold"`
	// AgeMillis is how old the knowledge is.
	AgeMillis int64 `json:"ageMillis"`
}

// Topology is what the pools choose from. It is immutable.
type Topology struct {
	Runners []bundle.Runner
	// ZonesOut are the availability zones that operators have taken out.
	ZonesOut map[string]bool
	// Draining are the runners that receive no new work.
	Draining map[string]bool
	// Zone is that of this instance.
	Zone string
	// Instances are the identifiers of all instances of the agreed view in
	// ascending order, and Self is this one.
	Instances []string
	Self      string
	// Settled is false while the view is changing: cold permits then take
	// the smallest of the shares that the views since the last settled one
	// give. When Instances are still those of the last settled view, the next
	// view is not known, and cold runners receive nothing from this instance.
	// No two instances may have different settled views at the same time,
	// each counted until its Hold ends.
	Settled bool
	// Longest is the longest time that one attempt may run; zero means
	// DefaultLongest. A share of a cold runner that a new view grants is
	// used when the work of its former owners has ended.
	Longest time.Duration
}

// Ask describes one attempt of a stage.
type Ask struct {
	Service string
	Model   string
	Team    string
	// Weight is the team's part among the teams of its tier.
	Weight float64
	Paying bool
	// Deadline is when the stage's result must be there.
	Deadline time.Time
	// Affinity is a hash of the prompt's prefix; zero means none.
	Affinity uint64
	// Exclude are runners that earlier attempts of the stage used.
	Exclude []string
}

// Place is the right to send one attempt to a runner.
type Place interface {
	// Runner is where the attempt goes.
	Runner() bundle.Runner
	// Reason says in a few words why this runner was chosen.
	Reason() string
	// Check returns an error of kind NoRunner when the runner may no longer
	// receive new work; it stands directly before the write.
	Check() error
	// Displaced is closed when a paying caller needs the place. It is never
	// closed for paying work.
	Displaced() <-chan struct{}
	// Done gives the place back. It is called exactly once.
	Done(r Result)
}

// Ending says how an attempt ended.
type Ending int

// The ways in which an attempt ends.
const (
	// Completed is a whole result.
	Completed Ending = iota
	// Refused is a runner that did nothing.
	Refused
	// Failed is an error of the runner or of the connection.
	Failed
	// TimedOut is an attempt without a result within its budget.
	TimedOut
	// Cancelled is an attempt that this instance gave up.
	Cancelled
	// Unsent is a place that was not used.
	Unsent
)

// Result is what an attempt taught about its runner.
type Result struct {
	Ending  Ending
	Latency time.Duration
	// Load is the report that came with the answer, or nil.
	Load *runnerapi.Load
}

// Status is what one instance holds of a runner.
type Status struct {
	Runner   string  `json:"runner"`
	Zone     string  `json:"zone"`
	Service  string  `json:"service"`
	InFlight int     `json:"inFlight"`
	Limit    float64 `json:"limit"`
	Cold     bool    `json:"cold"`
	Permits  int     `json:"permits"`
	Out      bool    `json:"out"`
	Queued   int     `json:"queued"`
}
