// Package pool chooses the runner for each attempt of a stage. It tracks the
// load and the limits of each runner, gives paying work strict priority over
// free work, and queues asks that wait for a place. It does no I/O; the clock
// is passed in.
package pool

import (
	"context"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/runnerapi"
)

// Pools assigns places on runners to asks.
type Pools interface {
	// Update replaces the topology; places in use stay valid. Once it has
	// returned, Check fails for each place on a runner that may receive no new
	// work.
	Update(t Topology)
	// Hold sets the time until which the view of the last topology, settled or
	// not, is guaranteed to be at most one change behind the one in effect.
	// Cold runners receive nothing from this instance after it. Hold alone
	// renews it only while the same view is in effect; another view, also one
	// with the same members, is set by Update. If Hold is never called, there
	// is no such limit.
	ExtendView(until time.Time)
	// Acquire returns a place for the ask. While none is available, it waits in
	// the queue of the service and model. Its errors have the kinds Overloaded,
	// NoRunner, DeadlineShort and Displaced, all with the outcome not run.
	Acquire(ctx context.Context, ask Request) (Slot, error)
	// Wait estimates how long a new ask would wait for a place. Callers
	// subtract the waits of later stages from the deadline they plan with; at
	// the first stage they subtract the result of AdmissionWait.
	EstimateWait(service, model string, paying bool) time.Duration
	// Report records a load report that did not come with an answer.
	ReportLoad(runner string, load runnerapi.Load)
	// Status returns one row per runner, ordered by identifier.
	Status() []Status
	// Digest returns, for gossip to other instances, the runners whose cold or
	// warm state this instance itself observed or confirmed since the given
	// time.
	Digest(since time.Time) Digest
	// ColdSigns receives the identifier of each runner that this instance
	// itself found to have turned cold, so that other instances are informed at
	// once. Identifiers are dropped while the channel's buffer is full.
	ColdRunners() <-chan string
	// Learn merges the digest of another instance, made the given delay ago.
	MergeDigest(d Digest, delay time.Duration)
}

// Digest is one instance's observations of the state of runners.
type Digest struct {
	Entries []DigestEntry `json:"entries"`
}

// DigestEntry is the observed state of one runner.
type DigestEntry struct {
	Runner string `json:"runner"`
	Cold   bool   `json:"cold"`
	// AgeMillis is the age of the observation.
	AgeMillis int64 `json:"ageMillis"`
}

// Topology is the set of runners and instances. It is immutable.
type Topology struct {
	Runners []bundle.Runner
	// ZonesOut are the availability zones that operators took out.
	ZonesOut map[string]bool
	// Draining are the runners that receive no new work.
	Draining map[string]bool
	// Zone is the availability zone of this instance.
	Zone string
	// Instances are the identifiers of all instances of the agreed view in
	// ascending order. Self is the identifier of this instance.
	Instances []string
	Self      string
	// Settled is false while the view is changing. The share of a cold runner
	// is then the smallest that any view from the last settled one on gives.
	// If Instances are still those of the last settled view, the next view is
	// unknown, and cold runners receive nothing from this instance. Two
	// instances must never have different settled views at the same time; a
	// view counts until its Hold ends.
	Settled bool
	// Longest is the maximum duration of one attempt; zero means
	// DefaultLongest. A share of a cold runner that a new view grants takes
	// effect when the attempts of its former owners have ended.
	AttemptTimeout time.Duration
}

// Ask describes one attempt of a stage.
type Request struct {
	Service string
	Model   string
	Team    string
	// Weight is the team's relative share among the teams of its tier.
	Weight float64
	Paying bool
	// Deadline is when the result of the stage is due.
	Deadline time.Time
	// Affinity is a hash of the prompt's prefix; zero means none.
	Affinity uint64
	// Exclude are the runners that earlier attempts of the stage used.
	Exclude []string
}

// Place is a permit to send one attempt to a runner.
type Slot interface {
	// Runner returns the runner that the attempt is sent to.
	Runner() bundle.Runner
	// Reason returns a short text that says why this runner was chosen.
	Reason() string
	// Check returns an error of kind NoRunner if the runner may no longer
	// receive new work. It must be called directly before the attempt is
	// written.
	Check() error
	// Displaced returns a channel that is closed when paying work preempts the
	// place. It is never closed for paying work.
	Preempted() <-chan struct{}
	// Done gives the place back. It must be called exactly once.
	Release(r Result)
}

// Ending is how an attempt ended.
type Ending int

// The ways in which an attempt ends.
const (
	// Completed means that the runner returned a whole result.
	Completed Ending = iota
	// Refused means that the runner refused the attempt and did no work.
	Refused
	// Failed is an error of the runner or of the connection.
	Failed
	// TimedOut is an attempt without a result within its time budget.
	TimedOut
	// Cancelled is an attempt that this instance cancelled.
	Cancelled
	// Unsent is a place on which nothing was sent.
	Unsent
)

// Result is the outcome of an attempt as observed on its runner.
type Result struct {
	Ending  Ending
	Latency time.Duration
	// Load is the load report that came with the answer, or nil.
	Load *runnerapi.Load
}

// Status is the state that one instance keeps for a runner.
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
