// Package operatorapi defines the messages of the API for operators, which uses
// HTTP with JSON.
package operatorapi

import (
	"time"

	"cicadawell.dev/fleet/fault"
)

// Paths of the API. A name in braces is a parameter for one path segment.
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

// Size limits of requests.
const (
	// MaxBundleBytes limits a body that contains a bundle.
	MaxBundleBytes = 32 << 20
	// MaxBodyBytes limits all other bodies.
	MaxBodyBytes = 64 << 10
	// MaxHeaderBytes limits the header.
	MaxHeaderBytes = 16 << 10
)

// ErrorResponse is the body of every response with a status of 400 or higher.
type ErrorResponse struct {
	Error fault.Message `json:"error"`
	// Bundle is the current state, if the error is a conflict on a bundle.
	Bundle *BundleStatus `json:"bundle,omitempty"`
	// Takeout is the current order, if the error is a conflict on an order
	// for a zone or a runner.
	Takeout *Takeout `json:"takeout,omitempty"`
}

// InstanceStatus is the status of one instance.
type InstanceStatus struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
	// Bundle is the version in force on the instance; zero if it is not
	// known.
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
	// Micros is the duration of the step in microseconds; zero if it does
	// not apply.
	Micros int64 `json:"micros,omitempty"`
}

// Explanation lists the decisions for a request, oldest first.
type Explanation struct {
	Request   string     `json:"request"`
	Decisions []Decision `json:"decisions"`
	// Unreachable lists the instances that did not respond. Their decisions
	// are missing.
	Unreachable []string `json:"silent,omitempty"`
}
