// Package pool chooses the runner for each attempt of a stage. It tracks the
// load and the limits of each runner, gives paying work strict priority over
// free work, and queues requests that wait for a slot. It does no I/O; the
// clock is passed in.
package pool

import (
	"context"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/runnerapi"
)

// Pools assigns slots on runners to requests.
type Pools interface {
	// Update replaces the topology; slots in use are held until their Release.
	// Once it has returned, Check fails for each slot on a runner that may
	// receive no new work.
	Update(t Topology)
	// ExtendView sets the time until which the view of the last topology,
	// effective or not, is guaranteed to be at most one change behind the
	// effective one. Cold runners receive nothing from this instance after that
	// time. ExtendView alone is enough only while the same view is effective;
	// another view, even one with the same members, must be set by Update. As
	// Topology carries no version, the caller has to tell such views apart. If
	// ExtendView is never called, there is no such limit.
	ExtendView(until time.Time)
	// Acquire returns a slot for the request. While none is available, it waits
	// in the queue of the service and model. Its errors have the kinds
	// Overloaded, NoRunner and DeadlineTooShort, all with the outcome not run.
	Acquire(ctx context.Context, req Request) (Slot, error)
	// EstimateWait estimates how long a new request would wait for a slot.
	// Callers subtract the waits of later stages from the deadline they plan
	// with; at the first stage they subtract the result of AdmissionReserve.
	EstimateWait(service, model string, paying bool) time.Duration
	// ReportLoad records a load report that did not come with an answer.
	ReportLoad(runner string, load runnerapi.Load)
	// Status returns one row per runner, ordered by identifier.
	Status() []Status
	// Digest returns, for gossip to other instances, the runners whose cold or
	// warm state this instance itself observed or confirmed since the given
	// time. An entry holds the current state, which may come from a newer
	// latency or from another instance's digest, with the age of this instance's
	// own last observation.
	Digest(since time.Time) Digest
	// ColdRunners receives the identifier of each runner that this instance
	// itself found to have turned cold, so that other instances are informed at
	// once. Identifiers are dropped while the channel's buffer is full.
	ColdRunners() <-chan string
	// MergeDigest merges the digest of another instance, made the given delay
	// ago.
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
	// AgeMillis is the age of the instance's own last observation. Cold may be
	// newer, see Pools.Digest.
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
	// Instances are the identifiers of all instances of the view in
	// ascending order. Self is the identifier of this instance.
	Instances []string
	Self      string
	// ViewEffective is false while the view is changing. This instance's share of a
	// cold runner is then the smallest that the last effective view or any later
	// one gives it. If Instances are still those of the last effective view, the
	// next view is unknown, and cold runners receive nothing from this
	// instance. Two instances must never have different effective views at the
	// same time; a view counts until the time set by ExtendView.
	ViewEffective bool
	// AttemptTimeout is the maximum duration of one attempt; zero means
	// DefaultAttemptTimeout. A share of a cold runner that a new view grants
	// takes effect when the attempts of its former owners have ended.
	AttemptTimeout time.Duration
}

// Request asks for a slot for one attempt of a stage.
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

// Slot is the right to send one attempt to a runner.
type Slot interface {
	// Runner returns the runner that the attempt is sent to.
	Runner() bundle.Runner
	// Reason returns a short text that says why this runner was chosen.
	Reason() string
	// Check returns an error of kind NoRunner if the runner may no longer
	// receive new work. It must be called directly before the attempt is
	// written.
	Check() error
	// Preempted returns a channel that is closed when paying work preempts the
	// slot. It is never closed for paying work.
	Preempted() <-chan struct{}
	// Release gives the slot back. It must be called exactly once.
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
	// Unsent is a slot on which nothing was sent.
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
	Runner  string `json:"runner"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	// InFlight is the number of this instance's attempts in flight.
	InFlight int `json:"inFlight"`
	// Limit is the number of attempts in flight below which a paying one may
	// start; it is a whole number.
	Limit float64 `json:"limit"`
	Cold  bool    `json:"cold"`
	// Permits is this instance's share of the cold slots, in slots, without a
	// grant that is not applied yet.
	Permits int `json:"permits"`
	// Out is set if the runner or its zone is taken out or the runner drains.
	Out bool `json:"out"`
	// Queued is the number of requests that wait in the queues of the runner's
	// services and models. Runners that share a queue repeat its requests.
	Queued int `json:"queued"`
}
