// Package operatorapi holds the messages of the interface for operators, over
// HTTP with JSON.
package operatorapi

import (
	"time"

	"cicadawell.dev/fleet/fault"
)

// Paths of the interface for operators. A name in braces stands for one path
// segment.
const (
	PathBundle    = "/v1/bundle"
	PathDrafts    = "/v1/bundle/drafts"
	PathVersion   = "/v1/bundle/versions/{version}"
	PathSign      = PathVersion + "/sign"
	PathRoll      = PathVersion + "/roll"
	PathCancel    = PathVersion + "/cancel"
	PathDiscard   = PathVersion + "/discard"
	PathZones     = "/v1/zones"
	PathZoneOut   = PathZones + "/{zone}/out"
	PathZoneIn    = PathZones + "/{zone}/in"
	PathRunners   = "/v1/runners"
	PathDrain     = PathRunners + "/{runner}/drain"
	PathUndrain   = PathRunners + "/{runner}/undrain"
	PathRequest   = "/v1/requests/{request}"
	PathInstances = "/v1/instances"
)

// Limits of a message.
const (
	// MaxBundleBytes bounds the body that carries a bundle.
	MaxBundleBytes = 32 << 20
	// MaxBodyBytes bounds every other body.
	MaxBodyBytes = 64 << 10
	// MaxHeaderBytes bounds the header.
	MaxHeaderBytes = 16 << 10
)

// Refusal is the body of every answer with a status of 400 or more.
type Refusal struct {
	Error fault.Message `json:"error"`
	// Bundle is the state that stands, where a step on a bundle met a
	// conflict.
	Bundle *BundleStatus `json:"bundle,omitempty"`
	// Takeout is the order that stands, where an order on a zone or a
	// runner met a conflict.
	Takeout *Takeout `json:"takeout,omitempty"`
}

// InstanceStatus is a row for one instance.
type InstanceStatus struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
	// Bundle is the version in force there; zero when it is not known.
	Bundle uint64 `json:"bundle"`
}

// Decision is one routing or placement decision for a request.
type Decision struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Step     string    `json:"step"`
	Stage    string    `json:"stage,omitempty"`
	Attempt  string    `json:"attempt,omitempty"`
	Runner   string    `json:"runner,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	// Micros is how long the step took; zero where that does not apply.
	Micros int64 `json:"micros,omitempty"`
}

// Explanation tells what was decided for a request, oldest first.
type Explanation struct {
	Request   string     `json:"request"`
	Decisions []Decision `json:"decisions"`
	// Silent are the instances that did not answer; their decisions are
	// missing.
	Silent []string `json:"silent,omitempty"`
}
