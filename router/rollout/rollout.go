// Package rollout decides how a service's calls move to the runners of another
// version, by what the runners of both versions answer. It does no I/O.
package rollout

import (
	"time"

	"cicadawell.dev/router/era"
)

// Phase is the progress of a rollout.
type Phase string

// The phases of a rollout. Only a running rollout changes.
const (
	Running    Phase = "running"
	Completed  Phase = "completed"
	RolledBack Phase = "rolledBack"
)

// Order is an operator's request to move the calls of a service to one version.
type Order struct {
	Service string `json:"service"`
	// Target is the version that is to get the calls.
	Target   string        `json:"target"`
	Duration time.Duration `json:"duration"`
	// Revision is the store's revision of the order. A repeated order has another one.
	Revision era.Revision `json:"-"`
	// SeenAt is when this instance read the order.
	SeenAt time.Time `json:"-"`
}

// SameAs reports whether two orders ask for the same.
func (o Order) SameAs(other Order) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Duration == other.Duration
}

// State is the decision in force on the calls of a service.
type State struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// OrderRevision and OrderEra are the revision of the order that the state belongs to.
	// The era is missing in what older builds write.
	OrderRevision int64 `json:"orderRevision"`
	OrderEra      int64 `json:"orderEra,omitempty"`
	// Step increases with each decision on the service, also across orders. Of two
	// states the one with the higher step is in force.
	Step  int64 `json:"step"`
	Phase Phase `json:"phase"`
	// Share is the share of the calls that go to the target version, from 0 to 1.
	Share float64 `json:"share"`
	// Runners is the number of runners of the target version that get its calls; zero
	// means all of them.
	Runners int `json:"runners,omitempty"`
	// Elapsed is the time from the order to the decision.
	Elapsed  time.Duration `json:"elapsed"`
	Duration time.Duration `json:"duration"`
	// Before is how long the rollout already ran when its order was repeated.
	Before time.Duration `json:"before,omitempty"`
	// ShareSince is the time from the order to the decision on Share; it is negative if
	// that was before a repeated order.
	ShareSince time.Duration `json:"shareSince"`
	// CandidateSince is the time from the order to the first decision that sends calls to
	// the target version, negative as ShareSince. It is meaningless before that.
	CandidateSince time.Duration `json:"candidateSince,omitempty"`
	// Ramping is set from the first step after the phase at a small share.
	Ramping bool `json:"ramping,omitempty"`
	// Barred has the versions that get no calls: that of a rollout that was rolled back
	// or superseded, or the old ones of a completed rollout.
	Barred []string `json:"barred,omitempty"`
	Reason string   `json:"reason,omitempty"`
	// Revision is the store's revision of the state, SeenAt when this instance read it.
	Revision era.Revision `json:"-"`
	SeenAt   time.Time    `json:"-"`
}

// Order returns the revision of the order that the state belongs to.
func (st State) Order() era.Revision { return era.New(st.OrderEra, st.OrderRevision) }

// WithOrder returns the state as one of the order with a revision.
func (st State) WithOrder(r era.Revision) State {
	st.OrderEra, st.OrderRevision = r.Era, r.Number
	return st
}

// Rebound returns the state as one of an order that asks for what its own order asked for, if
// that is of an earlier era: the operator has written the order again, since the store lost it.
func (st State) Rebound(o Order) State {
	earlier := st.OrderEra < o.Revision.Era || st.Order().Carried()
	if !earlier || st.Target != o.Target || st.Duration != o.Duration {
		return st
	}
	return st.WithOrder(o.Revision)
}

// InEra returns the state with the era of its order, if it states none.
func (st State) InEra(n int64) State {
	if st.OrderEra == 0 {
		st.OrderEra = n
	}
	return st
}

// Bounds are the limits that a rollout has to meet.
type Bounds struct {
	// ExposureShare and ExposureSlack bound the calls that a bad version gets: a share
	// of all calls between the order and its deadline, plus a number of calls.
	ExposureShare float64
	ExposureSlack int
	// Rollback is the time after the 50th bad answer from which a bad version gets no
	// more calls.
	Rollback time.Duration
}

// Enabled reports whether rollouts are carried out.
func (b Bounds) Enabled() bool { return b.ExposureShare > 0 }

// buckets is the number of buckets of a histogram. They are a factor of the fourth root
// of two apart, so that 1.6 times as long can be told from three times, and cover 1 ms
// to more than a minute.
const buckets = 66

// Tally counts the answers of one group of runners on one route.
type Tally struct {
	Answers  int64 `json:"answers"`
	Failures int64 `json:"failures"`
	// Latency is a histogram of the time to the answers that aren't failures.
	Latency [buckets]int64 `json:"latency"`
}

// RouteEvidence has the answers on one route: of the old versions, and of the target
// version.
type RouteEvidence struct {
	Baseline  Tally `json:"baseline"`
	Candidate Tally `json:"candidate"`
}

// Evidence has the answers of a service's runners by route.
type Evidence map[string]RouteEvidence

// Counts has a number for each of the two groups of runners.
type Counts struct {
	Baseline  int64 `json:"baseline"`
	Candidate int64 `json:"candidate"`
}

// Report is what one instance knows of a rollout, cumulative since its order.
type Report struct {
	Service string `json:"service"`
	// OrderRevision and OrderEra are as in State.
	OrderRevision int64 `json:"orderRevision"`
	OrderEra      int64 `json:"orderEra,omitempty"`
	// Step is the step that the instance applies.
	Step     int64    `json:"step"`
	Evidence Evidence `json:"evidence"`
	// Sent counts the calls that were sent, InFlight those without an end.
	Sent     Counts `json:"sent"`
	InFlight Counts `json:"inFlight"`
	// BaselineAtMostOnce is the number of calls in flight at the old versions that must
	// not run more than once.
	BaselineAtMostOnce int64 `json:"baselineAtMostOnce"`
	// CallTime is the instance's Recorder.CallTime.
	CallTime time.Duration `json:"callTime,omitempty"`
}

// Input is all that a decision depends on.
type Input struct {
	// Order is nil if the order was withdrawn.
	Order *Order
	// State is nil before the first decision.
	State *State
	// Elapsed is the time since the order.
	Elapsed time.Duration
	// Total is the evidence since the order, Recent that of the last seconds. Periods has
	// the same as Total, divided by the share that was in force. History has all three.
	Total, Recent Evidence
	Periods       []Period
	// Sent counts the calls since the order, InFlight those without an end.
	Sent, InFlight     Counts
	BaselineAtMostOnce int64
	// Runners counts the usable runners of each group.
	Runners Counts
	// BaselineVersions are the versions other than the target that have runners.
	BaselineVersions []string
	// Unconfirmed is the number of registered instances that haven't applied the step
	// of State.
	Unconfirmed int
	// CallTime is a high quantile of how long calls of the service take to their end: the
	// longest of those that instances report.
	CallTime time.Duration
}
